package catalogue

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
)

// namePattern allows only names that can be used in stream names, paths and log lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	credentialHashBytes = 32
	// maxPrepaidTokens bounds one change, so that the sum of many changes does not overflow.
	maxPrepaidTokens = int64(1) << 50
)

// check adds a finding for each invalid value in the entries and upstreams of a decoded catalogue. It does
// not check engine orders.
func (f *findings) check(c Catalogue) {
	served := servedNames(c)
	names := newDuplicateCheck(f)
	credentials := newDuplicateCheck(f)
	for i, e := range c.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		names.add(path+".name", e.Name)
		f.checkEntry(path, e, served)
		for j, hash := range e.Credentials {
			credentials.add(fmt.Sprintf("%s.credentials[%d]", path, j), hash)
		}
	}
	upstreams := newDuplicateCheck(f)
	for i, u := range c.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		upstreams.add(path+".name", u.Name)
		f.checkUpstream(path, u)
	}
}

// servedNames returns what the upstreams serve, as the keys "model NAME" and "service NAME".
func servedNames(c Catalogue) map[string]bool {
	served := make(map[string]bool)
	for _, u := range c.Upstreams {
		for _, m := range u.Models {
			served["model "+m] = true
		}
		if u.Service != "" {
			served["service "+u.Service] = true
		}
	}
	return served
}

func (f *findings) checkEntry(path string, e Entry, served map[string]bool) {
	f.checkName(path+".name", e.Name)
	f.checkName(path+".team", e.Team)
	if e.Owner == "" {
		f.add(path+".owner", "is missing")
	}
	if !slices.Contains([]Class{ClassInteractive, ClassService, ClassQueued}, e.Class) {
		f.add(path+".class", "must be interactive, service or queued")
	}
	if len(e.Models)+len(e.Services) == 0 {
		f.add(path, "allows no model and no service")
	}
	f.checkServed(path+".models", "model", e.Models, served)
	f.checkServed(path+".services", "service", e.Services, served)
	f.checkCredentials(path, e)
	f.checkLimits(path+".limits", e.Limits)
	f.checkPrepaid(path+".prepaid", e.Prepaid)
}

func (f *findings) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		f.add(path, "must be 1 to 63 lower-case letters, digits, dots, dashes or underscores")
	}
}

func (f *findings) checkServed(path, kind string, names []string, served map[string]bool) {
	for i, name := range names {
		if !served[kind+" "+name] {
			f.add(fmt.Sprintf("%s[%d]", path, i), "no upstream serves %s %q", kind, name)
		}
	}
}

func (f *findings) checkCredentials(path string, e Entry) {
	if len(e.Credentials) == 0 {
		f.add(path+".credentials", "is empty, so no caller can use the entry")
	}
	for i, hash := range e.Credentials {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != credentialHashBytes {
			f.add(fmt.Sprintf("%s.credentials[%d]", path, i), "must be a SHA-256 hash, 64 hexadecimal digits")
		}
	}
}

func (f *findings) checkLimits(path string, l Limits) {
	if l.RequestsPerSecond < 0 {
		f.add(path+".requests_per_second", "must not be negative")
	}
	if l.TokensPerSecond < 0 {
		f.add(path+".tokens_per_second", "must not be negative")
	}
	if l.Concurrency < 0 {
		f.add(path+".concurrency", "must not be negative")
	}
	if l.Queue < 0 {
		f.add(path+".queue", "must not be negative")
	}
}

func (f *findings) checkPrepaid(path string, prepaid []Prepaid) {
	ids := newDuplicateCheck(f)
	for i, p := range prepaid {
		item := fmt.Sprintf("%s[%d]", path, i)
		if p.ID == "" {
			f.add(item+".id", "is missing")
		}
		ids.add(item+".id", p.ID)
		if p.Tokens == 0 || p.Tokens > maxPrepaidTokens || p.Tokens < -maxPrepaidTokens {
			f.add(item+".tokens", "must not be 0 and at most %d", maxPrepaidTokens)
		}
	}
}

func (f *findings) checkUpstream(path string, u Upstream) {
	f.checkName(path+".name", u.Name)
	f.checkAddress(path+".address", u.Address)
	switch u.Kind {
	case KindEngine:
		if len(u.Models) == 0 {
			f.add(path+".models", "is empty")
		}
	case KindService:
		if u.Service == "" {
			f.add(path+".service", "is missing")
		}
	default:
		f.add(path+".kind", "must be engine or service")
	}
	if u.Concurrency < 0 {
		f.add(path+".concurrency", "must not be negative")
	}
	if u.RequestTokens < 0 {
		f.add(path+".request_tokens", "must not be negative")
	}
}

// checkAddress requires an http or https URL with an IP address and a port. Routers do not resolve host names.
func (f *findings) checkAddress(path, address string) {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		f.add(path, "must be an http or https URL")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		f.add(path, "must name an IP number and a port")
	}
}

// duplicateCheck adds a finding for each value that appears more than once. It ignores empty values.
type duplicateCheck struct {
	f    *findings
	seen map[string]string
}

func newDuplicateCheck(f *findings) *duplicateCheck {
	return &duplicateCheck{f: f, seen: make(map[string]string)}
}

func (d *duplicateCheck) add(path, value string) {
	if value == "" {
		return
	}
	if first, dup := d.seen[value]; dup {
		d.f.add(path, "%q is used twice, first in %s", value, first)
		return
	}
	d.seen[value] = path
}
