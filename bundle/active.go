package bundle

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"slices"
)

// Active is a bundle version indexed for lookups. It is immutable.
type Active struct {
	Version uint64
	Bundle  *Bundle

	classes           map[string]*Class
	customers         map[string]*Customer
	services          map[string]*Service
	pools             map[string]*Pool
	poolsByModel      map[string]*Pool
	poolsByService    map[string]*Pool
	customersByDigest map[string]*Customer
	operatorsByDigest map[string]*Operator
}

// Source provides the bundle version in force.
type Source interface {
	// Current returns the version in force, or nil while none is known.
	Current() *Active
	// Changed returns a channel that is closed when a newer version is put in
	// force.
	Changed() <-chan struct{}
}

// NewActive indexes a valid bundle.
func NewActive(version uint64, b *Bundle) *Active {
	a := &Active{
		Version:           version,
		Bundle:            b,
		classes:           map[string]*Class{},
		customers:         map[string]*Customer{},
		services:          map[string]*Service{},
		pools:             map[string]*Pool{},
		poolsByModel:      map[string]*Pool{},
		poolsByService:    map[string]*Pool{},
		customersByDigest: map[string]*Customer{},
		operatorsByDigest: map[string]*Operator{},
	}
	for i := range b.Classes {
		a.classes[b.Classes[i].Name] = &b.Classes[i]
	}
	for i := range b.Customers {
		c := &b.Customers[i]
		a.customers[c.Name] = c
		for _, d := range c.TokenDigests {
			a.customersByDigest[d] = c
		}
	}
	for i := range b.Services {
		a.services[b.Services[i].Name] = &b.Services[i]
	}
	for i := range b.Pools {
		p := &b.Pools[i]
		a.pools[p.Name] = p
		for _, m := range p.Models {
			a.poolsByModel[m] = p
		}
		if _, ok := a.poolsByService[p.Service]; !ok {
			a.poolsByService[p.Service] = p
		}
	}
	for i := range b.Operators {
		o := &b.Operators[i]
		for _, d := range o.TokenDigests {
			a.operatorsByDigest[d] = o
		}
	}
	return a
}

// Class returns the class with the given name, or nil.
func (a *Active) Class(name string) *Class { return a.classes[name] }

// Customer returns the customer with the given name, or nil.
func (a *Active) Customer(name string) *Customer { return a.customers[name] }

// Service returns the service with the given name, or nil.
func (a *Active) Service(name string) *Service { return a.services[name] }

// Pool returns the pool with the given name, or nil.
func (a *Active) Pool(name string) *Pool { return a.pools[name] }

// PoolOfModel returns the pool that serves a model, or nil.
func (a *Active) PoolOfModel(model string) *Pool { return a.poolsByModel[model] }

// PoolOfService returns the first pool declared for a service, or nil.
func (a *Active) PoolOfService(service string) *Pool { return a.poolsByService[service] }

// TokenDigest returns the digest of a bearer token in the form that bundles
// contain.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// CustomerByToken returns the customer a bearer token belongs to, or nil.
func (a *Active) CustomerByToken(token string) *Customer {
	d := TokenDigest(token)
	c := a.customersByDigest[d]
	if c == nil || !containsDigest(c.TokenDigests, d) {
		return nil
	}
	return c
}

// OperatorByToken returns the operator a bearer token belongs to, or nil.
func (a *Active) OperatorByToken(token string) *Operator {
	d := TokenDigest(token)
	o := a.operatorsByDigest[d]
	if o == nil || !containsDigest(o.TokenDigests, d) {
		return nil
	}
	return o
}

// containsDigest reports whether digests contains d. It compares all of them,
// each in constant time.
func containsDigest(digests []string, d string) bool {
	found := 0
	for _, x := range digests {
		found |= subtle.ConstantTimeCompare([]byte(x), []byte(d))
	}
	return found == 1
}

// Contains reports whether a server belongs to the pool. The server must be one
// of the pool's service.
func (p *Pool) Contains(server string) bool {
	return len(p.Servers) == 0 || matchesPattern(p.Servers, server)
}

// OwnerOf returns the owner whose patterns match a server, or nil.
func (a *Active) OwnerOf(server string) *Owner {
	for i := range a.Bundle.Owners {
		if matchesPattern(a.Bundle.Owners[i].Servers, server) {
			return &a.Bundle.Owners[i]
		}
	}
	return nil
}

func matchesPattern(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(p string) bool {
		ok, err := path.Match(p, name)
		return err == nil && ok
	})
}

// RepeatableCall reports whether a call with the method may be repeated.
func (s *Service) RepeatableCall(method string) bool {
	return s.Repeatable || slices.Contains(s.SafeMethods, method)
}
