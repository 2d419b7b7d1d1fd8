package bundle

import (
	"fmt"
	"path"
	"regexp"
	"strings"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/jsonc"
)

// Limits of the fields of a bundle.
const (
	minOperators      = 2
	maxSlotsPerServer = 4096
	maxTargetMs       = 24 * 60 * 60 * 1000
	maxRetentionHours = 366 * 24
	maxModelName      = 128
	maxPatternBytes   = 64
	// maxPatterns limits the patterns that are compared pairwise for overlap.
	maxPatterns = 1000
)

var (
	nameRule   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	digestRule = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodRule = regexp.MustCompile(`^[A-Z]{1,20}$`)

	emptyTokenDigest = TokenDigest("")
)

// checker validates one decoded bundle and collects the findings.
type checker struct {
	doc      *jsonc.Document
	b        *Bundle
	findings finding.List

	classes, owners, customers, operators map[string]string
	pools, models                         map[string]string
	services                              map[string]*Service
	// digests maps each token digest to the field in which it first occurs.
	digests map[string]string
}

// check validates a decoded bundle.
func check(doc *jsonc.Document, b *Bundle) finding.List {
	c := &checker{
		doc: doc, b: b,
		classes: map[string]string{}, owners: map[string]string{},
		customers: map[string]string{}, operators: map[string]string{},
		pools: map[string]string{}, models: map[string]string{},
		services: map[string]*Service{}, digests: map[string]string{},
	}
	c.checkClasses()
	c.checkOwners()
	c.checkServices()
	c.checkPools()
	c.checkCustomers()
	c.checkOperators()
	if b.RetentionHours < 1 || b.RetentionHours > maxRetentionHours {
		c.report("retention_hours", "%d is not between 1 and %d", b.RetentionHours, maxRetentionHours)
	}
	return c.findings
}

func (c *checker) report(field, format string, args ...any) {
	c.findings = append(c.findings, c.doc.Finding(field, format, args...))
}

// checkName checks that a name is valid and unique among the names in seen.
func (c *checker) checkName(field, kind, name string, seen map[string]string) {
	if !nameRule.MatchString(name) {
		c.report(field, "%s name %q does not match %s", kind, name, nameRule)
		return
	}
	c.checkUnique(field, kind, name, seen)
}

func (c *checker) checkUnique(field, kind, name string, seen map[string]string) {
	if first, ok := seen[name]; ok {
		c.report(field, "%s %q is given twice, first at %s", kind, name, first)
		return
	}
	seen[name] = field
}

// checkReference checks that seen declares the name.
func (c *checker) checkReference(field, kind, name string, seen map[string]string) {
	if _, ok := seen[name]; !ok {
		c.report(field, "%s %q does not exist", kind, name)
	}
}

func (c *checker) checkClasses() {
	if len(c.b.Classes) == 0 {
		c.report("classes", "at least one class is required")
	}
	for i, class := range c.b.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		c.checkName(at+".name", "class", class.Name, c.classes)
		if class.Tier < 0 || class.Tier >= MaxTiers {
			c.report(at+".tier", "%d is not between 0 and %d", class.Tier, MaxTiers-1)
		}
		c.checkMilliseconds(at+".first_token_ms", class.FirstTokenMs)
		c.checkMilliseconds(at+".token_gap_ms", class.TokenGapMs)
		c.checkMilliseconds(at+".starvation_ms", class.StarvationMs)
		if class.Promise <= 0 || class.Promise >= 1 {
			c.report(at+".promise", "%v is not above 0 and below 1", class.Promise)
		}
		if class.OnMiss != OnMissRefuse && class.OnMiss != OnMissServeLate {
			c.report(at+".on_miss", "%q is neither %q nor %q", class.OnMiss, OnMissRefuse, OnMissServeLate)
		}
		c.checkFraction(at+".retry_budget", class.RetryBudget)
	}
}

func (c *checker) checkMilliseconds(field string, ms int) {
	if ms < 1 || ms > maxTargetMs {
		c.report(field, "%d ms is not between 1 and %d", ms, maxTargetMs)
	}
}

func (c *checker) checkFraction(field string, share float64) {
	if share < 0 || share > 1 {
		c.report(field, "%v is not between 0 and 1", share)
	}
}

// declaredPattern is a host name pattern, the owner or pool that declares it,
// and the field it is declared in.
type declaredPattern struct {
	field, holder, pattern string
}

func (c *checker) checkOwners() {
	var seen []declaredPattern
	for i, owner := range c.b.Owners {
		at := fmt.Sprintf("owners[%d]", i)
		c.checkName(at+".name", "owner", owner.Name, c.owners)
		c.checkFraction(at+".share", owner.Share)
		if len(owner.Servers) == 0 {
			c.report(at+".servers", "owner %q has no servers", owner.Name)
		}
		seen = c.checkPatterns(at+".servers", owner.Name, owner.Servers, seen)
	}
}

// checkPatterns checks that patterns are valid and that none overlaps with a
// pattern of another holder in seen. It returns seen with the patterns added.
func (c *checker) checkPatterns(field, holder string, patterns []string, seen []declaredPattern) []declaredPattern {
	for i, p := range patterns {
		at := fmt.Sprintf("%s[%d]", field, i)
		if _, err := path.Match(p, ""); err != nil || p == "" || len(p) > maxPatternBytes {
			c.report(at, "%q is not a valid pattern of 1 to %d bytes", p, maxPatternBytes)
			continue
		}
		if len(seen) == maxPatterns {
			c.report(at, "more than %d patterns", maxPatterns)
			return seen
		}
		for _, s := range seen {
			if s.holder != holder && patternsOverlap(s.pattern, p) {
				c.report(at, "pattern %q overlaps with %q of %q at %s", p, s.pattern, s.holder, s.field)
				break
			}
		}
		seen = append(seen, declaredPattern{field: at, holder: holder, pattern: p})
	}
	return seen
}

func (c *checker) checkServices() {
	fields := map[string]string{}
	for i := range c.b.Services {
		s := &c.b.Services[i]
		at := fmt.Sprintf("services[%d]", i)
		c.checkName(at+".name", "service", s.Name, fields)
		c.services[s.Name] = s
		if s.Kind != EngineService && s.Kind != PlainService {
			c.report(at+".kind", "%q is neither %q nor %q", s.Kind, EngineService, PlainService)
		}
		methods := map[string]string{}
		for j, m := range s.SafeMethods {
			field := fmt.Sprintf("%s.safe_methods[%d]", at, j)
			if !methodRule.MatchString(m) {
				c.report(field, "%q is not an HTTP method in upper case", m)
				continue
			}
			c.checkUnique(field, "method", m, methods)
		}
		if !c.hasPool(s.Name) {
			c.report(at+".name", "service %q has no pool", s.Name)
		}
	}
}

func (c *checker) hasPool(service string) bool {
	for _, p := range c.b.Pools {
		if p.Service == service {
			return true
		}
	}
	return false
}

func (c *checker) checkPools() {
	seen := map[string][]declaredPattern{}
	for i, p := range c.b.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		c.checkName(at+".name", "pool", p.Name, c.pools)
		c.checkSlots(at, p)
		c.checkPoolModels(at, p)
		servers, field := p.Servers, at+".servers"
		if len(servers) == 0 {
			servers = []string{"*"}
		}
		seen[p.Service] = c.checkPatterns(field, p.Name, servers, seen[p.Service])
	}
}

func (c *checker) checkSlots(at string, p Pool) {
	if p.Slots < 1 {
		c.report(at+".slots", "%d is not at least 1", p.Slots)
	}
	if p.MaxSlots < p.Slots || p.MaxSlots > maxSlotsPerServer {
		c.report(at+".max_slots", "%d is not between slots (%d) and %d", p.MaxSlots, p.Slots, maxSlotsPerServer)
	}
}

func (c *checker) checkPoolModels(at string, p Pool) {
	for i, m := range p.Models {
		field := fmt.Sprintf("%s.models[%d]", at, i)
		if m == "" || len(m) > maxModelName || strings.ContainsAny(m, " \t\r\n") {
			c.report(field, "model name %q is empty, longer than %d bytes or has spaces", m, maxModelName)
			continue
		}
		c.checkUnique(field, "model", m, c.models)
	}
	s, ok := c.services[p.Service]
	switch {
	case !ok:
		c.report(at+".service", "service %q does not exist", p.Service)
	case s.Kind == EngineService && len(p.Models) == 0:
		c.report(at+".models", "pool %q of an engine service has no models", p.Name)
	case s.Kind == PlainService && len(p.Models) > 0:
		c.report(at+".models", "pool %q of a plain service has models", p.Name)
	}
}

func (c *checker) checkCustomers() {
	for i, customer := range c.b.Customers {
		at := fmt.Sprintf("customers[%d]", i)
		c.checkName(at+".name", "customer", customer.Name, c.customers)
		c.checkTokenDigests(at+".token_digests", customer.TokenDigests)
		if customer.Weight <= 0 {
			c.report(at+".weight", "%v is not above 0", customer.Weight)
		}
		if customer.Owner != "" {
			c.checkReference(at+".owner", "owner", customer.Owner, c.owners)
		}
		if len(customer.Classes) == 0 {
			c.report(at+".classes", "customer %q may use no class", customer.Name)
		}
		seen := map[string]string{}
		for j, class := range customer.Classes {
			field := fmt.Sprintf("%s.classes[%d]", at, j)
			c.checkReference(field, "class", class, c.classes)
			c.checkUnique(field, "class", class, seen)
		}
	}
}

func (c *checker) checkOperators() {
	if len(c.b.Operators) < minOperators {
		c.report("operators", "at least %d operators are required, since nobody approves their own change", minOperators)
	}
	for i, operator := range c.b.Operators {
		at := fmt.Sprintf("operators[%d]", i)
		c.checkName(at+".name", "operator", operator.Name, c.operators)
		c.checkTokenDigests(at+".token_digests", operator.TokenDigests)
	}
}

// checkTokenDigests checks that token digests are valid and unique within the
// bundle, so that a token identifies exactly one customer or operator.
func (c *checker) checkTokenDigests(field string, digests []string) {
	if len(digests) == 0 {
		c.report(field, "at least one token digest is required")
	}
	for i, d := range digests {
		at := fmt.Sprintf("%s[%d]", field, i)
		switch first, ok := c.digests[d]; {
		case !digestRule.MatchString(d):
			c.report(at, "token digest is not 64 lower-case hex digits")
		case d == emptyTokenDigest:
			c.report(at, "token digest is that of the empty token")
		case ok:
			c.report(at, "token digest is given twice, first at %s", first)
		default:
			c.digests[d] = at
		}
	}
}
