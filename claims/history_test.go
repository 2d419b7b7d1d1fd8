package claims_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/jacinththread/jacinththread/claims"
)

// opKind is the type of an operation in the history of a key.
type opKind uint8

const (
	opBegin opKind = iota + 1
	opDispatch
	opFinish
	opAbandon
	opRelease
	opOwnerDies
)

// op holds the arguments and the result of one operation.
type op struct {
	kind    opKind
	key     string
	attempt string
	owner   string
	body    byte
	verdict claims.Verdict
	// response is the recorded or replayed response body.
	response string
}

// history records the operations of concurrent daemons.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	// lastStamp is the last returned timestamp. It keeps timestamps unique
	// within one virtual instant.
	lastStamp int64
}

// stamp returns a unique, increasing timestamp in virtual nanoseconds.
func (h *history) stamp() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastStamp = max(h.lastStamp+1, int64(time.Since(h.start)))
	return h.lastStamp
}

// forever is the return time of an operation that may take effect at any time
// after its call.
const forever = int64(1) << 62

func (h *history) add(o op, call, ret int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{Input: o, Call: call, Return: ret})
}

// keyState is the state of one key in the sequential model.
type keyState struct {
	// owner and attempt are empty while no attempt holds a claim on the key.
	owner      string
	attempt    string
	body       byte
	dispatched bool
	finished   bool
	abandoned  bool
	response   string
	// undecided lists the owners of attempts that ended undecided. Other
	// attempts may see their claims until these are withdrawn.
	undecided string
	// dead lists the owners that daemons treat as dead.
	dead string
}

// listContains reports whether list, in which each name ends with a comma,
// contains name.
func listContains(list, name string) bool {
	return name != "" && strings.Contains(list, name+",")
}

// step returns whether the operation is allowed in state s, and the state after
// it.
func (s keyState) step(o op) (bool, keyState) {
	switch o.kind {
	case opOwnerDies:
		s.dead += o.owner + ","
		return true, s
	case opBegin:
		return s.begin(o)
	case opDispatch:
		ok := s.attempt == o.attempt && !s.dispatched
		s.dispatched = true
		return ok, s
	case opFinish:
		ok := s.attempt == o.attempt && s.dispatched
		s.finished, s.response = true, o.response
		return ok, s
	case opAbandon:
		ok := s.attempt == o.attempt && s.dispatched
		s.abandoned = true
		return ok, s
	case opRelease:
		ok := s.attempt == o.attempt && !s.dispatched
		return ok, keyState{undecided: s.undecided, dead: s.dead}
	}
	return false, s
}

func (s keyState) begin(o op) (bool, keyState) {
	free := s.attempt == ""
	undecided := s.undecided != ""
	switch o.verdict {
	case claims.Run:
		ok := free
		s.attempt, s.owner, s.body = o.attempt, o.owner, o.body
		return ok, s
	case claims.Replay:
		return s.finished && s.body == o.body && s.response == o.response, s
	case claims.InProgress:
		return undecided || !free && s.body == o.body && !s.finished && !s.abandoned, s
	case claims.Mismatch:
		return undecided || !free && s.body != o.body, s
	case claims.Unknown:
		return s.allowsUnknown(o), s
	case claims.Undecided:
		s.undecided += o.owner + ","
		return true, s
	case claims.Unavailable:
		return true, s
	}
	return false, s
}

func (s keyState) allowsUnknown(o op) bool {
	if s.attempt != "" && s.body == o.body && !s.finished && (s.abandoned || listContains(s.dead, s.owner)) {
		return true
	}
	for _, owner := range strings.Split(s.undecided, ",") {
		if listContains(s.dead, owner) {
			return true
		}
	}
	return false
}

// keyModel is the sequential model that the history of one key is checked
// against.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		ok, next := state.(keyState).step(input.(op))
		return ok, next
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// checkTimeout limits the time for checking the history of one key.
const checkTimeout = 30 * time.Second

// byKey splits the history by key. The death of an owner is added to every key.
func (h *history) byKey() map[string][]porcupine.Operation {
	split := map[string][]porcupine.Operation{}
	for _, x := range h.ops {
		if k := x.Input.(op).key; k != "" {
			split[k] = append(split[k], x)
		}
	}
	for _, x := range h.ops {
		if x.Input.(op).kind == opOwnerDies {
			for k := range split {
				split[k] = append(split[k], x)
			}
		}
	}
	return split
}

// check returns an error that lists the history of a key that the model does
// not allow.
func (h *history) check() error {
	for key, ops := range h.byKey() {
		result := porcupine.CheckOperationsTimeout(keyModel, ops, checkTimeout)
		if result == porcupine.Ok {
			continue
		}
		text := ""
		slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		for _, x := range ops {
			text += fmt.Sprintf("\n%d..%d %+v", x.Call, x.Return, x.Input)
		}
		return fmt.Errorf("history of key %s is %s:%s", key, result, text)
	}
	return nil
}
