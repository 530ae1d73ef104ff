package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route says where requests for a host and path go, for callers that do not name
// a model or service themselves.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Targets    []Target
	// Idempotent requests may run more than once. A stream may run again from
	// the event after the last one that its caller has if it is Resumable.
	Idempotent bool
	Stream     bool
	Resumable  bool
	// Public requests need no credential.
	Public bool
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// TargetLatency is the time within which the answer, or the first event of a
	// stream, is expected.
	TargetLatency time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
}

// Target is a service of a route with its part of the traffic.
type Target struct {
	Service string
	Weight  int
}

// Service describes the upstreams of one name.
type Service struct {
	Name string
	// Engine is true for model engines.
	Engine         bool
	HealthPath     string
	MaxConnections int
	// MaxTokensPerEvent is the most tokens that one event of a stream holds.
	MaxTokensPerEvent int64
}

// CallerLimits bound what a caller may send and how long it may stay idle.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Forwarding is the part of a configuration for forwarded requests.
type Forwarding struct {
	Routes   []Route
	Services []Service
	Limits   CallerLimits
}

// forwarding indexes a Forwarding.
type forwarding struct {
	byHost   map[string][]*Route
	services map[string]*Service
	limits   CallerLimits
}

// WithForwarding returns the snapshot with routes and services.
func (s *Snapshot) WithForwarding(f Forwarding) *Snapshot {
	out := *s
	index := &forwarding{byHost: make(map[string][]*Route), services: make(map[string]*Service), limits: f.Limits}
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
	out.forward = index
	return &out
}

// WithUpstreams returns the snapshot with other upstreams.
func (s *Snapshot) WithUpstreams(upstreams []Upstream) *Snapshot {
	out := *s
	out.upstreams = make(map[string]*Upstream, len(upstreams))
	for _, u := range upstreams {
		out.upstreams[u.Name] = &u
	}
	return &out
}

// Route returns the route of a host and path with the longest prefix, or nil.
func (s *Snapshot) Route(host, path string) *Route {
	if s.forward == nil {
		return nil
	}
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range s.forward.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of a name, or nil.
func (s *Snapshot) Service(name string) *Service {
	if s.forward == nil {
		return nil
	}
	return s.forward.services[name]
}

// CallerLimits returns the limits of forwarded requests.
func (s *Snapshot) CallerLimits() CallerLimits {
	if s.forward == nil {
		return CallerLimits{}
	}
	return s.forward.limits
}

// HasEntries reports whether the catalogue names any entry.
func (s *Snapshot) HasEntries() bool { return len(s.entries) > 0 }

// PrepaidTokens is the sum of the prepaid amounts of an entry.
func (e *Entry) PrepaidTokens() int64 {
	total := int64(0)
	for _, p := range e.Prepaid {
		total += p.Tokens
	}
	return total
}

// Pick returns the service for a point between 0 and 1, by the weights.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	at := int(point * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= max(0, t.Weight)
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
