package packets

import "time"

const (
	// maxInFlight is the maximum number of unacknowledged packets.
	maxInFlight = 16
	// The retransmission timeout starts at initialRTO and doubles with each
	// retransmission, up to maxRTO.
	initialRTO = 200 * time.Millisecond
	maxRTO     = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions in a row after which a
	// target drops a flow.
	maxRetransmits = 8
	// ackEvery is the number of received packets after which an
	// acknowledgement is sent.
	ackEvery = 2
)

// segment is a sent packet that is not acknowledged yet. end is the sequence
// number after it.
type segment struct {
	packet *Packet
	end    uint32
}

// stream is one end of an open flow. It sends and receives data in order. It
// does no I/O.
type stream struct {
	sendNext uint32 // next sequence number to send
	queue    []byte
	inFlight []segment
	fin      bool // a FIN follows the queue
	// finSent says that the FIN has been sent.
	finSent      bool
	retransmitAt time.Time
	rto          time.Duration
	retransmits  int

	recvNext    uint32 // next sequence number expected
	outOfOrder  map[uint32]*Packet
	pendingAcks int
	// peerFin says that all data and the FIN of the other end have been
	// received.
	peerFin bool
	input   []byte
}

func newStream(next, received uint32) *stream {
	return &stream{sendNext: next, recvNext: received, outOfOrder: map[uint32]*Packet{}, rto: initialRTO}
}

// receive handles a packet of the other end and reports whether it must be
// acknowledged at once.
func (s *stream) receive(p *Packet, now time.Time) (acknowledge bool) {
	if p.Has(Ack) {
		s.handleAck(p.Ack, now)
	}
	if len(p.Data) == 0 && !p.Has(Fin) {
		return false
	}
	if int32(p.Seq-s.recvNext) < 0 {
		return true
	}
	s.outOfOrder[p.Seq] = p
	for q := s.outOfOrder[s.recvNext]; q != nil; q = s.outOfOrder[s.recvNext] {
		delete(s.outOfOrder, q.Seq)
		s.input = append(s.input, q.Data...)
		s.recvNext += uint32(len(q.Data))
		if q.Has(Fin) {
			s.recvNext++
			s.peerFin = true
		}
		s.pendingAcks++
	}
	return s.pendingAcks >= ackEvery || s.peerFin || len(s.outOfOrder) > 0
}

func (s *stream) handleAck(ack uint32, now time.Time) {
	n := 0
	for n < len(s.inFlight) && int32(s.inFlight[n].end-ack) <= 0 {
		n++
	}
	if n == 0 {
		return
	}
	s.inFlight = s.inFlight[n:]
	s.retransmits, s.rto = 0, initialRTO
	s.retransmitAt = now.Add(s.rto)
}

// output returns the packets to send now. template holds the addresses.
func (s *stream) output(template Packet, now time.Time) (out []*Packet) {
	for len(s.inFlight) < maxInFlight && (len(s.queue) > 0 || s.fin && !s.finSent) {
		out = append(out, s.nextSegment(template, now))
	}
	if len(out) > 0 {
		s.pendingAcks = 0
	}
	return out
}

func (s *stream) nextSegment(template Packet, now time.Time) *Packet {
	n := min(len(s.queue), MaxData)
	p := template
	p.Flags, p.Seq, p.Ack, p.Data = Ack, s.sendNext, s.recvNext, append([]byte(nil), s.queue[:n]...)
	s.queue = s.queue[n:]
	s.sendNext += uint32(n)
	if s.fin && len(s.queue) == 0 {
		p.Flags |= Fin
		s.sendNext++
		s.finSent = true
	}
	if len(s.inFlight) == 0 {
		s.retransmitAt = now.Add(s.rto)
	}
	s.inFlight = append(s.inFlight, segment{&p, s.sendNext})
	return &p
}

// retransmit returns the oldest unacknowledged packet if its retransmission is
// due.
func (s *stream) retransmit(now time.Time) (out []*Packet) {
	if len(s.inFlight) == 0 || now.Before(s.retransmitAt) {
		return nil
	}
	s.retransmits++
	s.rto = min(2*s.rto, maxRTO)
	s.retransmitAt = now.Add(s.rto)
	s.inFlight[0].packet.Ack = s.recvNext
	return []*Packet{s.inFlight[0].packet}
}

// ackPacket returns a packet without data that acknowledges what has been
// received.
func (s *stream) ackPacket(template Packet) *Packet {
	template.Flags, template.Seq, template.Ack, template.Data = Ack, s.sendNext, s.recvNext, nil
	s.pendingAcks = 0
	return &template
}

// closed reports whether both ends have sent their FIN and the other end has
// acknowledged everything.
func (s *stream) closed() bool { return s.finSent && len(s.inFlight) == 0 && s.peerFin }
