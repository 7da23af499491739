package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/lab/packets"
)

// AddTarget adds a VM with a target and its agent to a zone. n selects the speed
// of the target.
func (s *System) AddTarget(service *Service, zone, n int, bootstrap bool) (*VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := s.newVM("agent", zone)
	if err != nil {
		return nil, err
	}
	if m.Target, err = s.startTarget(m, service, n); err != nil {
		return nil, err
	}
	s.agents = append(s.agents, m)
	s.register(m)
	return m, s.startProcess(m, bootstrap)
}

func (s *System) startTarget(m *VM, service *Service, n int) (*packets.Target, error) {
	const queuePerSlot = 4
	zone := m.Zone
	return packets.StartTarget(packets.TargetOptions{
		Name: fmt.Sprintf("%s@%s", service.Name, m.Name), Service: service.Name, Address: netip.AddrPortFrom(m.IP, portTarget),
		AgentAddress: netip.AddrPortFrom(m.IP, portOutbound), Slots: service.Slots, Queue: queuePerSlot * service.Slots,
		Speed: service.Speeds[n%len(service.Speeds)], Journal: s.Journal, OnAccept: func(flow string) { s.zoneDrains.accepted(s.Journal, zone, flow) },
	})
}

// register writes the store entry of a new incarnation of a VM's target.
func (s *System) register(m *VM) {
	startMS := time.Now().UnixMilli()
	e := &entry{Service: m.Target.Service, Address: netip.AddrPortFrom(m.IP, portTarget).String(), Zone: m.Zone, Version: "v1", Slots: m.Target.Slots, State: "ready", StartUnixMS: startMS}
	id := fmt.Sprintf("i-%s-%d", m.Name, startMS)
	s.entries[id] = e
	s.putEntry(id, e)
}

// entryPrefix begins the keys of the targets' entries in the store.
const entryPrefix = "servers/"

func (s *System) putEntry(id string, e *entry) {
	data, err := json.Marshal(e)
	if err != nil {
		s.failures = append(s.failures, err.Error())
		return
	}
	if bytes.Equal(s.Store.Values()[entryPrefix+id], data) {
		return
	}
	s.Store.Put(entryPrefix+id, data)
}

func (s *System) entryOf(m *VM) (string, *entry) {
	address := netip.AddrPortFrom(m.IP, portTarget).String()
	for id, e := range s.entries {
		if e.Address == address {
			return id, e
		}
	}
	return "", nil
}

// DrainTarget marks a target as draining. After drainMS it waits for the
// target's flows to end, for at most timeout, and then removes the VM.
func (s *System) DrainTarget(m *VM, timeout time.Duration) {
	s.mu.Lock()
	id, e := s.entryOf(m)
	if e != nil {
		e.State = "draining"
		s.putEntry(id, e)
	}
	m.Target.Drain()
	s.mu.Unlock()
	go func() {
		time.Sleep(drainMS * time.Millisecond)
		for end := time.Now().Add(timeout); m.Target.OpenFlows() > 0 && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		s.mu.Lock()
		delete(s.entries, id)
		s.agents = slices.DeleteFunc(s.agents, func(a *VM) bool { return a == m })
		s.removedVMs = append(s.removedVMs, m)
		s.mu.Unlock()
		s.Store.Remove(entryPrefix + id)
		m.Target.Stop()
		s.StopProcess(m)
	}()
}

// CrashTarget stops a target without notice. A new incarnation starts after the
// time down, and the store drops the old entry after three heartbeats.
func (s *System) CrashTarget(m *VM, service *Service, down time.Duration) {
	s.mu.Lock()
	id, _ := s.entryOf(m)
	delete(s.entries, id)
	s.mu.Unlock()
	m.Target.Stop()
	time.AfterFunc(3*heartbeatMS*time.Millisecond, func() { s.Store.Remove(entryPrefix + id) })
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stopped || m.noRestart {
			return
		}
		t, err := s.startTarget(m, service, s.random.IntN(len(service.Speeds)))
		if err != nil {
			s.failures = append(s.failures, err.Error())
			return
		}
		m.Target = t
		s.register(m)
	})
}
