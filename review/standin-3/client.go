package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func get(url string) (int, error) {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode, nil
}

// request is what a client saw of one attempt.
type request struct {
	id, machine    string
	sent, answered time.Time
	// result is the status, or why there is none.
	result string
	ok     bool
}

// clients send postings, which may run once at most, to the machines at a steady rate.
type clients struct {
	host, prefix, key string
	deadline          time.Duration
	transport         *http.Transport

	mu      sync.Mutex
	all     []*request
	pending sync.WaitGroup
}

func newClients(host, prefix, key string, deadline time.Duration) *clients {
	return &clients{host: host, prefix: prefix, key: key, deadline: deadline, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 20, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}}
}

// once is a body that can't be sent twice, so that net/http doesn't.
type once struct{ io.Reader }

func (c *clients) send(m *machine) {
	defer c.pending.Done()
	r := &request{id: fmt.Sprintf("%016x", rand.Uint64()), machine: m.name}
	body := strings.Repeat("x", 600)
	req, err := http.NewRequest(http.MethodPost, "http://"+m.addr(ports.frontend)+c.prefix+"p", once{strings.NewReader(body)})
	if err != nil {
		panic(err)
	}
	req.ContentLength = int64(len(body))
	req.Host = c.host
	req.Header.Set(name("attempt"), r.id)
	req.Header.Set(name("key"), c.key)
	req.Header.Set(name("deadline"), fmt.Sprint(c.deadline.Milliseconds()))
	client := http.Client{Transport: c.transport, Timeout: c.deadline}
	r.sent = time.Now()
	res, err := client.Do(req)
	if err != nil {
		r.result = "no answer: " + lastWords(err)
	} else {
		data, readErr := io.ReadAll(res.Body)
		res.Body.Close()
		r.result = fmt.Sprint(res.StatusCode)
		r.ok = readErr == nil && res.StatusCode == 200 && res.Header.Get(name("seal")) != "" && strings.Contains(string(data), r.id)
		if readErr != nil {
			r.result += " cut"
		}
	}
	r.answered = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, r)
}

func lastWords(err error) string {
	words := strings.Split(err.Error(), ": ")
	return words[len(words)-1]
}

// drive sends requests until stop is closed, each to a random machine.
func (c *clients) drive(machines []*machine, perSecond int, stop <-chan struct{}) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			c.pending.Wait()
			return
		case <-tick.C:
			c.pending.Add(1)
			go c.send(machines[rand.IntN(len(machines))])
		}
	}
}
