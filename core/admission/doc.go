// Package admission decides what an agent does with each request: run it on
// the local target, let it wait, hand it over to a peer, or refuse it. It is
// a state machine without I/O and without a clock: Step takes an event and
// the time, and returns actions.
//
// Invariants:
//   - Every Arrive of a new ID ends in exactly one Answer or Refuse. Refuse
//     ends a request that was never attempted; Answer follows at least one
//     Run or HandOver. No action names a request after its end.
//   - A request has at most one attempt (Run or HandOver) in progress.
//   - Requests that hold slots never exceed the slots of the target, except
//     while a reconfiguration lowers that number below what is running.
//   - A request that came with a grant is run here or refused. It is never
//     handed on.
//   - A request is handed over at most once, plus once more after a NotRun
//     answer.
//   - After Drain, only a request that comes with a grant issued before, and
//     within the lifetime of that grant, starts here.
//   - An attempt that may have run is followed by another one only if the
//     request may be repeated and the retry budget has a token.
//   - Equal seeds and equal events give equal actions.
package admission
