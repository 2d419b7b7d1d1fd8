package peer

import (
	"fmt"
	"sync/atomic"
)

// handlerEntry is the registered factory and handler of a message kind.
type handlerEntry struct {
	factory func() Message
	handle  Handler
}

// Handlers dispatches decoded messages by kind. The zero value is ready to use.
// It is safe for concurrent use.
type Handlers struct {
	byKind [256]atomic.Pointer[handlerEntry]
}

// Register adds the handler of a kind. It panics if the kind already has one.
func (h *Handlers) Register(kind Kind, factory func() Message, handle Handler) {
	e := &handlerEntry{factory: factory, handle: handle}
	if !h.byKind[kind].CompareAndSwap(nil, e) {
		panic(fmt.Sprintf("message kind %d already has a handler", kind))
	}
}

// Dispatch decodes the payload of a kind and calls its handler. It reports
// false for a kind without a handler.
func (h *Handlers) Dispatch(from string, kind Kind, payload []byte) (bool, error) {
	e := h.byKind[kind].Load()
	if e == nil {
		return false, nil
	}
	m := e.factory()
	if err := Decode(payload, m); err != nil {
		return true, err
	}
	e.handle(from, m)
	return true, nil
}
