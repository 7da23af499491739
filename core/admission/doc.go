// Package admission decides what an agent does with each request: run it on
// the local target, keep it in the queue, hand it over to a peer, or refuse
// it. It is a state machine without I/O and without a clock: Step takes an
// event and the time, and returns actions.
//
// Terms:
//   - A peer is another agent of the same service.
//   - A slot is the capacity of a target to run one request. A request of a
//     class that holds no slot is slotless; the connection limit bounds it.
//   - An attempt is one Run of a request or one HandOver of it.
//   - A grant is a reservation that an agent makes for one request of a peer,
//     in reply to a Reserve or in an Offer. It can be used once and expires
//     after GrantLifetime.
//   - A score rates a target for one more request. The lowest score is the
//     best.
//
// Invariants:
//   - Every Arrive of a new ID ends in exactly one Answer or Refuse. Refuse
//     ends a request that was never attempted; Answer ends a request after
//     at least one attempt. No action names a request after its end.
//   - A request has at most one attempt in progress.
//   - The running requests that hold a slot never exceed the slots of the
//     target, except after a reconfiguration to fewer slots than are in use.
//   - A request that arrives with a grant runs here or is refused. It is
//     never handed over again.
//   - A request is handed over at most twice, and the second time only if its
//     latest attempt ended with the verdict NotRun.
//   - After Drain, a request starts here only if it arrives with a grant that
//     was issued before the drain and has not expired.
//   - An attempt that may have run is followed by another one only if the
//     request is repeatable and the retry budget allows it.
//   - Equal seeds and equal events lead to equal actions.
package admission
