package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/httpstore"
)

const (
	platformAddr   = "127.0.0.1:18200"
	engineAddr     = "127.0.0.1:18241"
	slowEngineAddr = "127.0.0.1:18242"
	daemonCount    = 3
	readyTimeout   = 20 * time.Second
	stopTimeout    = 10 * time.Second
)

// deployment is the set of child processes under test.
type deployment struct {
	// dir holds the settings files and logs.
	dir        string
	standIns   []*exec.Cmd
	daemons    []*exec.Cmd
	engineURL  string
	gatewayURL string
	gateway    *exec.Cmd
}

func startDeployment(ctx context.Context) (*deployment, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, engineURL: "http://" + engineAddr}
	if err := d.start(ctx); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context) error {
	if err := d.startStandIns(ctx); err != nil {
		return err
	}
	if err := d.startDaemons(); err != nil {
		return err
	}
	if err := rollBundle(ctx); err != nil {
		return err
	}
	for i := range daemonCount {
		if err := waitReady(ctx, "http://"+operatorAddr(i)+"/readyz"); err != nil {
			return err
		}
	}
	return d.chooseGateway()
}

// startStandIns starts the stand-ins for the platform and the engines, and
// publishes the host list.
func (d *deployment) startStandIns(ctx context.Context) error {
	commands := [][]string{
		{"platform", "--listen", platformAddr},
		{"engine", "--name", "engine-1", "--listen", engineAddr, "--slots", "1000", "--first-token-ms", "0", "--token-gap-ms", "0"},
		{"engine", "--name", "slow-1", "--listen", slowEngineAddr, "--slots", "2000", "--first-token-ms", "10", "--token-gap-ms", strconv.Itoa(streamGapMs)},
	}
	for _, args := range commands {
		cmd, err := d.command("bin/standin", args...)
		if err != nil {
			return err
		}
		d.standIns = append(d.standIns, cmd)
	}
	if err := waitReady(ctx, "http://"+platformAddr+"/v1/hosts"); err != nil {
		return err
	}
	return d.setHosts(ctx)
}

// command starts a process whose output goes to a log file in d.dir.
func (d *deployment) command(path string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(path, args...)
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", filepath.Base(path), len(d.standIns)+len(d.daemons))))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, cmd.Start()
}

// setHosts publishes the engines and daemons in the platform's host list.
func (d *deployment) setHosts(ctx context.Context) error {
	hosts := []store.Host{
		{Name: "engine-1", Addr: engineAddr, Service: "llm", Region: "r", Domain: "a", State: store.HostLive},
		{Name: "slow-1", Addr: slowEngineAddr, Service: "llm", Region: "r", Domain: "a", State: store.HostLive},
	}
	for i := range daemonCount {
		hosts = append(hosts, store.Host{
			Name: daemonName(i), Addr: peerAddr(i), Service: "jacinththread", Region: "r", Domain: "a", State: store.HostLive,
		})
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+platformAddr+"/admin/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func daemonName(i int) string   { return fmt.Sprintf("entry-%d", i) }
func callerAddr(i int) string   { return fmt.Sprintf("127.0.0.1:1821%d", i) }
func peerAddr(i int) string     { return fmt.Sprintf("127.0.0.1:1822%d", i) }
func operatorAddr(i int) string { return fmt.Sprintf("127.0.0.1:1823%d", i) }

func (d *deployment) startDaemons() error {
	for i := range daemonCount {
		text := fmt.Sprintf(`{
  "name": %q, "region": "r", "domain": "a",
  "listen": {"callers": %q, "peers": %q, "operators": %q},
  "platform": {"url": "http://%s"},
  "peers": {"keys": ["00112233445566778899aabbccddeeff"], "seeds": [{"name": "entry-0", "addr": %q}]},
  "callers": {"entry_ttl_ms": 500},
  "telemetry": {"log_level": "warn"},
}`, daemonName(i), callerAddr(i), peerAddr(i), operatorAddr(i), platformAddr, peerAddr(0))
		path := filepath.Join(d.dir, daemonName(i)+".jsonc")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		cmd, err := d.command("bin/jacinththreadd", "--settings", path)
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, cmd)
	}
	return nil
}

// rollBundle proposes, approves and rolls out a bundle with one engine per pool.
func rollBundle(ctx context.Context) error {
	kv, err := httpstore.New("http://"+platformAddr, time.Second)
	if err != nil {
		return err
	}
	store := bundle.NewStore(kv)
	content := fmt.Sprintf(`{
  "classes": [{"name": "c", "tier": 0, "first_token_ms": 5000, "token_gap_ms": 1000, "promise": 0.9,
    "starvation_ms": 10000, "on_miss": "refuse", "retry_budget": 0.1}],
  "customers": [{"name": "bench", "token_digests": [%q], "weight": 1, "owner": "o", "classes": ["c"]}],
  "owners": [{"name": "o", "servers": ["*"], "share": 1}],
  "services": [{"name": "llm", "kind": "engine", "repeatable": true, "safe_methods": [], "checks_order": false}],
  "pools": [
    {"name": "fast", "service": "llm", "models": ["m"], "servers": ["engine-*"], "slots": 500, "max_slots": 500},
    {"name": "slow", "service": "llm", "models": ["slow"], "servers": ["slow-*"], "slots": 1500, "max_slots": 1500},
  ],
  "operators": [{"name": "a", "token_digests": [%q]}, {"name": "b", "token_digests": [%q]}],
  "retention_hours": 1,
}`, bundle.TokenDigest(token), bundle.TokenDigest("operator-a"), bundle.TokenDigest("operator-b"))
	p, err := store.Propose(ctx, bundle.Change{ID: "bench", Content: content}, "a")
	if err != nil {
		return err
	}
	if _, err := store.Approve(ctx, "bench", p.Digest, "b"); err != nil {
		return err
	}
	_, err = store.Roll(ctx, "bench", "b")
	return err
}

// chooseGateway selects a daemon that schedules neither engine.
func (d *deployment) chooseGateway() error {
	var names []string
	for i := range daemonCount {
		names = append(names, daemonName(i))
	}
	fast, slow := policy.Assign("engine-1", names), policy.Assign("slow-1", names)
	for i, name := range names {
		if name != fast && name != slow {
			d.gateway = d.daemons[i]
			d.gatewayURL = "http://" + callerAddr(i)
			return nil
		}
	}
	return errors.New("no daemon to use as the gateway: each one schedules an engine")
}

// waitReady polls a URL until it responds with status 200.
func waitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become ready in time", url)
}

// gatewayMemory returns the resident set size of the gateway, in KiB.
func (d *deployment) gatewayMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.gateway.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, errors.New("process status of the gateway has no VmRSS line")
}

// stop interrupts the processes, daemons first, kills those that do not end
// within stopTimeout, and removes d.dir.
func (d *deployment) stop() {
	for _, group := range [][]*exec.Cmd{d.daemons, d.standIns} {
		for _, cmd := range group {
			// The process may have ended already.
			_ = cmd.Process.Signal(os.Interrupt)
		}
		for _, cmd := range group {
			timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
			_ = cmd.Wait()
			timer.Stop()
		}
	}
	os.RemoveAll(d.dir)
}
