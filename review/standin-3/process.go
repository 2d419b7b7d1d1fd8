package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Answers of a process: short ones have a length, long ones have none and end with their connection.
const (
	shortAnswer = 800
	longAnswer  = 4800
)

// answerOf returns the whole body of the answer to a request.
func answerOf(id string, long bool) string {
	n := shortAnswer
	if long {
		n = longAnswer
	}
	end := " end of " + id + "\n"
	return "begin of " + id + " " + strings.Repeat(".", n-len(id)*2-len(end)-len("begin of  ")) + end
}

// serveProcess is a server as a process of its own. With fatal, it is killed in the middle of the first long answer.
func serveProcess(id, addr string, fatal bool) int {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		attempt := r.Header.Get(name("attempt"))
		if attempt != "" {
			h.Set(name("attempt"), attempt)
		}
		h.Set(name("instance"), id)
		h.Set("Keep-Alive", keepAliveHeader)
		switch {
		case r.Header.Get(name("expect")) != "" && r.Header.Get(name("expect")) != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case r.URL.Path == "/healthz":
			return
		case attempt == "":
			h.Set(name("not_run"), "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		long := strings.HasSuffix(r.URL.Path, "long")
		body := answerOf(attempt, long)
		time.Sleep(20 * time.Millisecond)
		h.Set(name("seal"), "seal."+id+"."+attempt)
		if !long {
			fmt.Fprint(w, body)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
		h.Write(&head)
		c.Write([]byte(head.String() + "\r\n" + body[:len(body)/2]))
		if fatal {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
		c.Write([]byte(body[len(body)/2:]))
	})
	fmt.Println("listens")
	http.Serve(l, handler)
	return held
}

// process is a server that runs as a process of its own. Its entry is written here.
type process struct {
	*server

	cmdMu sync.Mutex
	cmd   *exec.Cmd
	ended bool
}

// run starts the process and returns when it listens.
func (p *process) run(fatal bool) error {
	args := []string{"-server", p.id, "-addr", p.addr}
	if fatal {
		args = append(args, "-fatal")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	p.cmdMu.Lock()
	if p.ended {
		p.cmdMu.Unlock()
		return errors.New("the server has ended for good")
	}
	err = cmd.Start()
	p.cmd = cmd
	p.cmdMu.Unlock()
	if err != nil {
		return err
	}
	_, err = bufio.NewReader(out).ReadString('\n')
	return err
}

// end ends the server for good.
func (p *process) end() {
	p.cmdMu.Lock()
	defer p.cmdMu.Unlock()
	if !p.ended && p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
	}
	p.ended = true
}

// startProcess starts a server of the lookups and writes its entry from then on.
func (b *bed) startProcess(i int) (*process, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	l.Close()
	p := &process{server: &server{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zones[i%3], addr: addr, born: time.Now().UnixMilli(), store: b.store, state: "ready"}}
	b.processes = append(b.processes, p)
	if err := p.run(b.trouble && i == 0); err != nil {
		return nil, err
	}
	b.note("server %s starts at %s, born %d", p.id, addr, p.born)
	p.beat()
	return p, nil
}
