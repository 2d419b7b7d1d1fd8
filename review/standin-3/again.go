package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// lookup is what a client saw of one lookup.
type lookup struct {
	id, result string
	sent       time.Time
	body       string
	// success is set if the answer is a complete 200 with the seal.
	success bool
}

// look sends one lookup on a new connection.
func (b *bed) look(m *machine, long bool) lookup {
	r := lookup{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	path := prefix + "short"
	if long {
		path = prefix + "long"
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+m.addr(ports.frontend)+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set(name("attempt"), r.id)
	req.Header.Set(name("key"), apiKey)
	req.Header.Set(name("deadline"), fmt.Sprint(clientDeadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: clientDeadline}
	res, err := client.Do(req)
	if err != nil {
		r.result = "no answer: " + lastWords(err)
		return r
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	r.body, r.result = string(data), fmt.Sprint(res.StatusCode)
	r.success = err == nil && res.StatusCode == 200 && res.Header.Get(name("seal")) != ""
	if err != nil {
		r.result += " broken off"
	}
	return r
}

// again: a server is partitioned from the store, not from the machines, crashes behind the cut in the middle of an answer
// without a length and starts again at once under its ID and at its address. It writes its entry when the cut is over.
func (b *bed) again(daemon, dir string) int {
	const (
		rounds  = 6
		restart = 100 * time.Millisecond
		cutFor  = 1300 * time.Millisecond
	)
	routeKind, routeAttempts = "idempotent", 2
	wrong, whole, others := 0, 0, 0
	if err := b.start(daemon, dir, rounds, 0); err != nil {
		fmt.Println(err)
		return failed
	}
	for round := range rounds {
		// Each round has a machine that has had no such answer yet, and a server of its own.
		m := b.machines[round]
		p, err := b.startProcess(0)
		if err != nil {
			fmt.Println(err)
			return failed
		}
		stop := make(chan struct{})
		go func() {
			tick := time.NewTicker(heartbeat)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					p.beat()
				}
			}
		}()
		time.Sleep(1500 * time.Millisecond)
		for range 20 {
			if r := b.look(m, false); r.success && r.body == answerOf(r.id, false) {
				whole++
			} else {
				others++
				b.note("short lookup %s: %s, %d bytes", r.id, r.result, len(r.body))
			}
		}
		restarted := make(chan error, 1)
		if b.trouble {
			go func() {
				p.cmd.Wait()
				close(stop)
				ended := time.Now().Add(cutFor)
				b.note("server %s, which is cut off from the store from now on, is killed", p.id)
				time.Sleep(restart)
				err := p.run(false)
				p.mu.Lock()
				p.born, p.sequence = time.Now().UnixMilli(), 0
				p.mu.Unlock()
				b.note("server %s starts again, born %d", p.id, p.born)
				restarted <- err
				time.Sleep(time.Until(ended))
				p.beat()
				b.note("the cut is over, server %s writes its entry", p.id)
			}()
		}
		r := b.look(m, true)
		want := answerOf(r.id, true)
		b.note("long lookup %s to %s: %s, %d bytes of %d, complete success: %v", r.id, m.name, r.result, len(r.body), len(want), r.success)
		switch {
		case r.success && r.body != want:
			wrong++
			b.note("MIXED: the client got a complete 200 with the seal and %d of %d bytes", len(r.body), len(want))
		case r.success:
			whole++
		default:
			others++
		}
		if b.trouble {
			if err := <-restarted; err != nil {
				fmt.Println(err)
				return failed
			}
			time.Sleep(cutFor + 300*time.Millisecond)
		} else {
			close(stop)
		}
		p.leave()
		time.Sleep(time.Second)
		p.end()
	}
	b.note("%d answers whole, %d without success, %d complete successes with a part of the body", whole, others, wrong)
	fmt.Printf("%d answers whole, %d without success, %d complete successes with a part of the body\n", whole, others, wrong)
	switch {
	case wrong > 0:
		return broken
	case whole < rounds*20:
		return failed
	}
	return held
}
