package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Bounds of the deployment, as its sheet gives them.
const (
	contactMS = 3000
	drainMS   = 2000
	graceS    = 8
)

// machine is one machine of the system and its process.
type machine struct {
	name, zone, ip string
	store          string
	gate           *gate
	dir            string
	cmd            *exec.Cmd
}

// Ports are the same on all machines, each of which has an address of its own.
var ports = struct{ frontend, ready, control, directory, metrics, low int }{}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }

// settings writes the settings file of the machine.
func (m *machine) settings(seeds []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, settingsText, m.name, m.ip, m.zone, ports.low, ports.low+15, strings.Join(seeds, `","`), m.addr(ports.frontend), m.addr(ports.ready), m.addr(ports.control),
		m.addr(ports.directory), contactMS, drainMS, graceS, m.store)
	path := filepath.Join(m.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		panic(err)
	}
	return path
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start(daemon string, seeds []string) error {
	out, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(daemon, "--metrics-port", fmt.Sprint(ports.metrics))
	m.cmd.Env = []string{name("settings_variable") + "=" + m.settings(seeds), "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	return m.cmd.Start()
}

func (m *machine) kill() {
	if m.cmd != nil && m.cmd.Process != nil {
		m.cmd.Process.Kill()
		m.cmd.Wait()
	}
}

// awaitReady waits until the machine says that it is ready.
func (m *machine) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, err := get("http://" + m.addr(ports.ready) + "/readyz"); err == nil && status == 200 {
			return true
		}
	}
	return false
}

// choosePorts finds ports that are free on the addresses of all machines.
func choosePorts(machines []*machine) bool {
	for base := 21000; base < 30000; base += 100 {
		free := true
		for _, m := range machines {
			for i := range 30 {
				l, err := net.Listen("tcp", m.addr(base+i))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
			if !free {
				break
			}
		}
		if free {
			ports.frontend, ports.ready, ports.control, ports.directory, ports.metrics, ports.low = base, base+1, base+2, base+3, base+4, base+10
			return true
		}
	}
	return false
}
