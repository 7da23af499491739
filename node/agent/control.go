package agent

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/wire"
)

// receiveControl passes a message of a peer's admission machine to this agent's
// machine.
func (a *Agent) receiveControl(from peerAgent, payload []byte) {
	var message admission.Message
	if err := cbor.Unmarshal(payload, &message); err != nil {
		a.metrics.dropped("control_message")
		a.log.Debug("control message cannot be decoded", zap.String("peer", string(from.id)), zap.Error(err))
		return
	}
	if !a.gate.tryPost(admission.PeerMessage{From: from.id, Message: message}) {
		a.metrics.dropped("control_busy")
	}
}

// sendControl sends a message of the admission machine to a peer. The message
// may be lost.
func (a *Agent) sendControl(to admission.PeerID, message admission.Message) {
	peer, ok := a.view().peer(to)
	if !ok {
		return
	}
	payload, err := cbor.Marshal(message)
	if err != nil {
		a.log.Error("control message cannot be encoded", zap.Error(err))
		return
	}
	_ = a.packetConn.send(peer.datagramAddr, &wire.Header{Kind: wire.Control}, payload)
}
