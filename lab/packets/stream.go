package packets

import "time"

const (
	// window is the most packets in flight.
	window = 16
	// firstRetransmit doubles with each retransmission, up to maxRetransmit.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	// maxRetransmits ends a target's flow.
	maxRetransmits = 8
	// ackEvery is the number of data packets that one acknowledgement covers.
	ackEvery = 2
)

// segment is a packet that is not acknowledged yet.
type segment struct {
	packet *Packet
	end    uint32
}

// stream is one end of an open flow: data goes out in order and comes in in
// order. It has no I/O.
type stream struct {
	next  uint32 // next sequence number to send
	queue []byte
	sent  []segment
	fin   bool // nothing follows the queue
	// finSent says that the FIN is among the sent packets.
	finSent bool
	due     time.Time
	wait    time.Duration
	tries   int

	received uint32 // next sequence number expected
	early    map[uint32]*Packet
	unacked  int
	// peerFin says that the other end has sent everything.
	peerFin bool
	input   []byte
}

func newStream(next, received uint32) *stream {
	return &stream{next: next, received: received, early: map[uint32]*Packet{}, wait: firstRetransmit}
}

// take adds a packet of the other end and reports whether it has to be
// acknowledged at once.
func (s *stream) take(p *Packet, now time.Time) (acknowledge bool) {
	if p.Has(Ack) {
		s.acknowledged(p.Ack, now)
	}
	if len(p.Data) == 0 && !p.Has(Fin) {
		return false
	}
	if int32(p.Seq-s.received) < 0 {
		return true
	}
	s.early[p.Seq] = p
	for q := s.early[s.received]; q != nil; q = s.early[s.received] {
		delete(s.early, q.Seq)
		s.input = append(s.input, q.Data...)
		s.received += uint32(len(q.Data))
		if q.Has(Fin) {
			s.received++
			s.peerFin = true
		}
		s.unacked++
	}
	return s.unacked >= ackEvery || s.peerFin || len(s.early) > 0
}

func (s *stream) acknowledged(ack uint32, now time.Time) {
	n := 0
	for n < len(s.sent) && int32(s.sent[n].end-ack) <= 0 {
		n++
	}
	if n == 0 {
		return
	}
	s.sent = s.sent[n:]
	s.tries, s.wait = 0, firstRetransmit
	s.due = now.Add(s.wait)
}

// output returns the packets to send now; template has the addresses.
func (s *stream) output(template Packet, now time.Time) (out []*Packet) {
	for len(s.sent) < window && (len(s.queue) > 0 || s.fin && !s.finSent) {
		out = append(out, s.segment(template, now))
	}
	if len(out) > 0 {
		s.unacked = 0
	}
	return out
}

func (s *stream) segment(template Packet, now time.Time) *Packet {
	n := min(len(s.queue), MaxData)
	p := template
	p.Flags, p.Seq, p.Ack, p.Data = Ack, s.next, s.received, append([]byte(nil), s.queue[:n]...)
	s.queue = s.queue[n:]
	s.next += uint32(n)
	if s.fin && len(s.queue) == 0 {
		p.Flags |= Fin
		s.next++
		s.finSent = true
	}
	if len(s.sent) == 0 {
		s.due = now.Add(s.wait)
	}
	s.sent = append(s.sent, segment{&p, s.next})
	return &p
}

// retransmit returns the packets whose time has come.
func (s *stream) retransmit(now time.Time) (out []*Packet) {
	if len(s.sent) == 0 || now.Before(s.due) {
		return nil
	}
	s.tries++
	s.wait = min(2*s.wait, maxRetransmit)
	s.due = now.Add(s.wait)
	s.sent[0].packet.Ack = s.received
	return []*Packet{s.sent[0].packet}
}

// ackPacket returns a packet that only acknowledges.
func (s *stream) ackPacket(template Packet) *Packet {
	template.Flags, template.Seq, template.Ack, template.Data = Ack, s.next, s.received, nil
	s.unacked = 0
	return &template
}

// closed reports whether both ends have sent everything.
func (s *stream) closed() bool { return s.finSent && len(s.sent) == 0 && s.peerFin }
