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

// zeroAllowed lists the signed integers and durations for which 0 has a meaning. All others must be above 0.
var zeroAllowed = []string{"drain-delay", "attempt-timeout", "budget-reserve", "request-memory", "memory-limit"}

// check returns the findings about the values. All values must have been parsed.
func (d Daemon) check() []Finding {
	c := &checker{settings: reflect.ValueOf(d)}
	c.checkNumbers()
	for _, name := range []string{"listen", "admin-listen"} {
		if _, _, err := net.SplitHostPort(c.stringValue(name)); err != nil {
			c.addFinding(name, "must be an address with a port, for example 127.0.0.1:8080")
		}
	}
	if d.VM == "" || strings.Contains(d.VM, "/") {
		c.addFinding("vm", "must be a non-empty name without a slash")
	}
	if !d.Dev && !isHTTPURL(d.LogURL) {
		c.addFinding("log-url", "must be an http or https URL unless --dev is set")
	}
	d.checkPeers(c)
	if d.BudgetReservePercent > maxPercent {
		c.addFinding("budget-reserve", "must be at most 100")
	}
	if d.WeightPullsPerSecond <= 0 {
		c.addFinding("weight-pulls-per-second", "must be above 0")
	}
	c.checkOneOf("log-format", "text", "json")
	c.checkOneOf("trace-exporter", "none", "stdout", "otlp")
	if d.TraceExporter == "otlp" && !isHTTPURL(d.TraceEndpoint) {
		c.addFinding("trace-endpoint", "must be an http or https URL when the trace exporter is otlp")
	}
	if _, err := logrus.ParseLevel(d.LogLevel); err != nil {
		c.addFinding("log-level", "must be one of error, warn, info, debug")
	}
	if d.MaxAnswerBytes > d.AnswerMemory {
		c.addFinding("max-answer-bytes", "must be at most --answer-memory")
	}
	return c.findings
}

const maxPercent = 100

// minPeerKeyBytes is the output size of SHA-256. The key is used for HMAC-SHA-256 (package peerapi).
const minPeerKeyBytes = 32

// checkPeers checks the settings that a router needs if --peer-listen is set. Without it the router has no
// peers, and nothing is checked.
func (d Daemon) checkPeers(c *checker) {
	if d.PeerListen == "" {
		return
	}
	if _, err := netip.ParseAddrPort(d.PeerListen); err != nil {
		c.addFinding("peer-listen", "must be an IP address and a port, for example 10.0.0.7:9090")
	}
	if len(d.PeerKey) < minPeerKeyBytes {
		c.addFinding("peer-key", "must be at least 32 bytes long")
	}
	if !isHTTPURL(d.VMListURL) {
		c.addFinding("vm-list-url", "must be an http or https URL when --peer-listen is set")
	}
	files := 0
	for _, file := range []string{d.PeerTLSCert, d.PeerTLSKey, d.PeerTLSCA} {
		if file != "" {
			files++
		}
	}
	if files != 0 && files != 3 {
		c.addFinding("peer-tls-cert", "must be set together with --peer-tls-key and --peer-tls-ca")
	}
}

func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// checker collects findings. Its methods take the long flag name of a setting.
type checker struct {
	settings reflect.Value
	findings []Finding
}

// field finds the setting with a flag name. It panics if there is none.
func (c *checker) field(name string) (reflect.StructField, reflect.Value) {
	for i := range c.settings.NumField() {
		if f := c.settings.Type().Field(i); f.Tag.Get("long") == name {
			return f, c.settings.Field(i)
		}
	}
	panic("no setting with flag name " + name)
}

func (c *checker) stringValue(name string) string {
	_, v := c.field(name)
	return v.String()
}

func (c *checker) addFinding(name, message string) {
	f, _ := c.field(name)
	c.findings = append(c.findings, Finding{
		Location: fmt.Sprintf("--%s (%s)", name, f.Tag.Get("env")), Message: message,
	})
}

func (c *checker) checkOneOf(name string, allowed ...string) {
	if !slices.Contains(allowed, c.stringValue(name)) {
		c.addFinding(name, "must be one of "+strings.Join(allowed, ", "))
	}
}

// checkNumbers checks that every signed integer and duration is above 0, or at least 0 if it is in zeroAllowed.
func (c *checker) checkNumbers() {
	for i := range c.settings.NumField() {
		name, v := c.settings.Type().Field(i).Tag.Get("long"), c.settings.Field(i)
		if !v.CanInt() {
			continue
		}
		minimum := int64(1)
		if slices.Contains(zeroAllowed, name) {
			minimum = 0
		}
		if v.Int() >= minimum {
			continue
		}
		if v.Type() == reflect.TypeFor[time.Duration]() {
			c.addFinding(name, "must be a duration above 0, for example 500ms or 2m")
		} else {
			c.addFinding(name, "must be at least 1")
		}
	}
}
