package main

import (
	"fmt"
	"time"
)

// cut: the store gives one machine, which is the only one that is left, no response for a while and serves all others. Soon
// after that a server leaves without a word before: its entry is removed, it goes on for drain_ms and a little longer, and
// exits.
func (b *bed) cut(daemon, dir string) int {
	const (
		rounds  = 4
		silence = 1600 * time.Millisecond
		leaves  = 200 * time.Millisecond
		linger  = (drainMS + 1400) * time.Millisecond
	)
	if err := b.start(daemon, dir, 1, 8); err != nil {
		fmt.Println(err)
		return failed
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { b.clients.drive(b.machines, 100, stop); close(done) }()
	time.Sleep(6 * time.Second)
	var all []leaving
	for round := range rounds {
		m := b.machines[0]
		if b.trouble {
			b.note("the store gives %s no response", m.name)
			m.gate.set(true)
		}
		time.Sleep(silence)
		back := time.Now()
		if b.trouble {
			m.gate.set(false)
			b.note("the store answers %s again", m.name)
		}
		time.Sleep(leaves)
		x := b.servers[round]
		l := leaving{server: x, acked: x.leave(), inTouch: back.Add(contactMS * time.Millisecond)}
		b.note("server %s leaves: the store has accepted that its entry is removed", x.id)
		time.Sleep(time.Until(l.acked.Add(linger)))
		x.exit()
		l.exited = time.Now()
		b.note("server %s exits", x.id)
		all = append(all, l)
		b.addServer(round)
		time.Sleep(6 * time.Second)
	}
	close(stop)
	<-done
	code := b.judge(all)
	b.writeAll()
	return code
}

// late: a call by which a server renews its entry gets no response and is executed seconds later, just after the server has
// reported that it leaves. The server's next calls say again that it leaves. Requests count from the first of these that the
// store accepts when it has been without disruption for contact_ms, even if the time in which late calls are executed, six
// seconds, is taken as disruption.
func (b *bed) late(daemon, dir string) int {
	const (
		machines = 15
		rounds   = 3
		lostFor  = 4 * time.Second
		after    = 10 * time.Millisecond
		longest  = 6 * time.Second
		linger   = (drainMS + 5000) * time.Millisecond
	)
	if err := b.start(daemon, dir, machines, 10); err != nil {
		fmt.Println(err)
		return failed
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { b.clients.drive(b.machines, 100, stop); close(done) }()
	time.Sleep(8 * time.Second)
	inTouch := time.Now()
	var all []leaving
	for round := range rounds {
		x := b.servers[round]
		lost := time.Now()
		execute := x.lateBeat()
		b.note("a call of server %s that renews its entry gets no response", x.id)
		time.Sleep(lostFor)
		x.drain()
		b.note("server %s leaves: the store has accepted that it is draining", x.id)
		time.Sleep(after)
		if b.trouble {
			execute()
			b.note("the store executes the call of server %s of %v before", x.id, lostFor)
		}
		time.Sleep(time.Until(lost.Add(longest + contactMS*time.Millisecond)))
		l := leaving{server: x, acked: x.beat(), inTouch: inTouch}
		b.note("server %s: the store has accepted again that it is draining", x.id)
		time.Sleep(time.Until(l.acked.Add(linger)))
		x.exit()
		x.leave()
		l.exited = time.Now()
		b.note("server %s exits, its entry is removed", x.id)
		all = append(all, l)
		b.addServer(round)
		time.Sleep(4 * time.Second)
	}
	close(stop)
	<-done
	code := b.judge(all)
	b.writeAll()
	return code
}
