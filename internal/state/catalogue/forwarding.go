package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route maps requests for a host and path to services, for callers that do not name a model or service
// themselves.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Targets    []Target
	// Idempotent requests may run more than once.
	Idempotent bool
	// Stream is true if the response is an event stream.
	Stream bool
	// Resumable is true if a broken stream may be run again, starting with the event after the last one that its
	// caller received.
	Resumable bool
	// Public requests need no credential.
	Public bool
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Timeout is the maximum time until the response is complete.
	Timeout time.Duration
	// TargetLatency is the time within which the response, or the first event of a stream, is expected.
	TargetLatency time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// AllowedRegions are the regions whose upstreams may get the requests; empty means all.
	AllowedRegions []string
}

// Target is a service of a route, that is, a model or a plain service, and its weight, which is relative to
// the route's other targets.
type Target struct {
	Service string
	Weight  int
}

// Service describes what a route's target names: a model that engines serve, or a plain service. In entries
// and upstreams, a service is always a plain service.
type Service struct {
	Name string
	// Engine is true if Name is a model that engines serve.
	Engine         bool
	HealthPath     string
	MaxConnections int
	// ColdPerSecond is the number of requests per second that an upstream bears while it is cold, of all routers together; 0
	// means that upstreams do not start cold. A cold start lasts ColdStart.
	ColdPerSecond float64
	ColdStart     time.Duration
	// MaxTokensPerEvent is the maximum number of tokens in one event of a stream.
	MaxTokensPerEvent int64
}

// CallerLimits are the limits from the configuration on what a caller may send and how long it may stay idle.
// The router applies MaxBodyBytes only; 0 means that the limit from its settings applies.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Forwarding is the section of a configuration that applies to forwarded requests.
type Forwarding struct {
	Routes   []Route
	Services []Service
	Limits   CallerLimits
	// RequireCredential is true if requests on routes that are not public need the credential of an entry, also while
	// there is no entry.
	RequireCredential bool
}

// forwardingIndex is the index of a Forwarding.
type forwardingIndex struct {
	byHost   map[string][]*Route
	services map[string]*Service
	limits   CallerLimits

	requireCredential bool
}

// WithForwarding returns a copy of the snapshot with the given Forwarding.
func (s *Snapshot) WithForwarding(f Forwarding) *Snapshot {
	out := *s
	index := &forwardingIndex{byHost: make(map[string][]*Route), services: make(map[string]*Service), limits: f.Limits, requireCredential: f.RequireCredential}
	for _, r := range f.Routes {
		host := strings.ToLower(r.Host)
		index.byHost[host] = append(index.byHost[host], &r)
	}
	for _, routes := range index.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, svc := range f.Services {
		index.services[svc.Name] = &svc
	}
	out.forwarding = index
	return &out
}

// WithUpstreams returns a copy of the snapshot with other upstreams.
func (s *Snapshot) WithUpstreams(upstreams []Upstream) *Snapshot {
	out := *s
	out.upstreams = make(map[string]*Upstream, len(upstreams))
	for _, u := range upstreams {
		out.upstreams[u.Name] = &u
	}
	return &out
}

// Route returns the route with the longest matching prefix for a host and path, or nil.
func (s *Snapshot) Route(host, path string) *Route {
	if s.forwarding == nil {
		return nil
	}
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range s.forwarding.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// ResumableServices returns the services whose streams may be resumed.
func (s *Snapshot) ResumableServices() map[string]bool {
	services := make(map[string]bool)
	if s.forwarding == nil {
		return services
	}
	for _, routes := range s.forwarding.byHost {
		for _, r := range routes {
			for _, t := range r.Targets {
				services[t.Service] = services[t.Service] || r.Stream && r.Resumable
			}
		}
	}
	return services
}

// Service returns the service with a name, or nil.
func (s *Snapshot) Service(name string) *Service {
	if s.forwarding == nil {
		return nil
	}
	return s.forwarding.services[name]
}

// CallerLimits returns the limits from the configuration, or zero limits if the snapshot has no Forwarding.
func (s *Snapshot) CallerLimits() CallerLimits {
	if s.forwarding == nil {
		return CallerLimits{}
	}
	return s.forwarding.limits
}

// NeedsCredential reports whether requests on a route need the credential of an entry.
func (s *Snapshot) NeedsCredential(r *Route) bool {
	return !r.Public && s.forwarding != nil && s.forwarding.requireCredential
}

// PrepaidTokens returns the sum of the prepaid changes of an entry.
func (e *Entry) PrepaidTokens() int64 {
	total := int64(0)
	for _, p := range e.Prepaid {
		total += p.Tokens
	}
	return total
}

// HasTarget reports whether a service is among the route's targets.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Pick returns the service at a fraction (0 to 1) of the total weight, so that a random fraction selects the
// services in proportion to their weights.
func (r *Route) Pick(fraction float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	position := int(fraction * float64(total))
	for _, t := range r.Targets {
		if position < t.Weight {
			return t.Service
		}
		position -= max(0, t.Weight)
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
