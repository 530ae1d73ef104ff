package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// mayBeZero names the numbers and durations for which 0 has a meaning.
var mayBeZero = []string{"drain-delay", "attempt-timeout", "budget-reserve"}

// check returns every finding about values that could be read.
func (d Daemon) check() []Finding {
	c := &checker{settings: reflect.ValueOf(d)}
	c.positive()
	for _, name := range []string{"listen", "admin-listen"} {
		if _, _, err := net.SplitHostPort(c.text(name)); err != nil {
			c.found(name, "must be an address with a port, as 127.0.0.1:8080")
		}
	}
	if d.VM == "" || strings.Contains(d.VM, "/") {
		c.found("vm", "must be a name without a slash")
	}
	if !d.Dev && !isHTTP(d.LogURL) {
		c.found("log-url", "must be an http or https URL; only --dev runs without one")
	}
	d.checkPeers(c)
	if d.BudgetReservePercent > maxPercent {
		c.found("budget-reserve", "must be at most 100")
	}
	if d.WeightPullsPerSecond <= 0 {
		c.found("weight-pulls-per-second", "must be above 0")
	}
	c.oneOf("log-format", "text", "json")
	c.oneOf("trace-exporter", "none", "stdout", "otlp")
	if d.TraceExporter == "otlp" && !isHTTP(d.TraceEndpoint) {
		c.found("trace-endpoint", "must be an http or https URL when traces go to otlp")
	}
	if _, err := logrus.ParseLevel(d.LogLevel); err != nil {
		c.found("log-level", "must be one of error, warn, info, debug")
	}
	if d.MaxAnswerBytes > d.AnswerMemory {
		c.found("max-answer-bytes", "must be at most --answer-memory")
	}
	return c.findings
}

const maxPercent = 100

// minPeerKeyBytes is the output size of the hash that the key is used with.
const minPeerKeyBytes = 32

// checkPeers reports a router that is neither alone nor a member of a fleet.
func (d Daemon) checkPeers(c *checker) {
	if d.PeerListen == "" {
		return
	}
	if _, err := netip.ParseAddrPort(d.PeerListen); err != nil {
		c.found("peer-listen", "must be an IP number and a port, as 10.0.0.7:9090")
	}
	if len(d.PeerKey) < minPeerKeyBytes {
		c.found("peer-key", "must have at least 32 bytes")
	}
	if !isHTTP(d.VMListURL) {
		c.found("vm-list-url", "must be an http or https URL when there are peers")
	}
	files := 0
	for _, file := range []string{d.PeerTLSCert, d.PeerTLSKey, d.PeerTLSCA} {
		if file != "" {
			files++
		}
	}
	if files != 0 && files != 3 {
		c.found("peer-tls-cert", "certificate, key and CA file must be set together")
	}
}

func isHTTP(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// checker collects findings by the long name of a setting.
type checker struct {
	settings reflect.Value
	findings []Finding
}

func (c *checker) field(name string) (reflect.StructField, reflect.Value) {
	for i := range c.settings.NumField() {
		if f := c.settings.Type().Field(i); f.Tag.Get("long") == name {
			return f, c.settings.Field(i)
		}
	}
	panic("no setting has the name " + name)
}

func (c *checker) text(name string) string {
	_, v := c.field(name)
	return v.String()
}

func (c *checker) found(name, message string) {
	f, _ := c.field(name)
	c.findings = append(c.findings, Finding{
		Place: fmt.Sprintf("--%s (%s)", name, f.Tag.Get("env")), Message: message,
	})
}

func (c *checker) oneOf(name string, allowed ...string) {
	if !slices.Contains(allowed, c.text(name)) {
		c.found(name, "must be one of "+strings.Join(allowed, ", "))
	}
}

// positive checks that every number and duration is above 0.
func (c *checker) positive() {
	for i := range c.settings.NumField() {
		name, v := c.settings.Type().Field(i).Tag.Get("long"), c.settings.Field(i)
		if !v.CanInt() {
			continue
		}
		lowest := int64(1)
		if slices.Contains(mayBeZero, name) {
			lowest = 0
		}
		if v.Int() >= lowest {
			continue
		}
		if v.Type() == reflect.TypeFor[time.Duration]() {
			c.found(name, "must be a time above 0, as 500ms or 2m")
		} else {
			c.found(name, "must be at least 1")
		}
	}
}
