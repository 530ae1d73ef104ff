package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// envPrefix begins the name of every environment variable of the daemon.
const envPrefix = "DOTTERELTHREAD_"

// Finding is one thing wrong with the settings.
type Finding struct {
	// Place names the flag and the environment variable.
	Place   string
	Message string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Place + ": " + f.Message }

// ErrHelp reports that the help text was asked for. It was not an error.
var ErrHelp = errors.New("help was asked for")

// Load reads the settings from the arguments and the environment and checks
// them. It returns every finding at once; the settings are valid without one.
func Load(args []string) (Daemon, []Finding, error) {
	var cfg Daemon
	parser := flags.NewParser(&cfg, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		return cfg, nil, errors.Mark(err, ErrHelp)
	}
	findings := unknownVariables(parser)
	if err != nil {
		// The parser stops at the first value that it cannot read.
		findings = append(findings, unreadableVariables()...)
		findings = append(findings, unreadableArguments(args)...)
		return cfg, findings, nil
	}
	for _, arg := range rest {
		findings = append(findings, Finding{Place: "argument " + arg, Message: "is not a flag"})
	}
	return cfg, append(findings, cfg.check()...), nil
}

func place(o *flags.Option) string {
	return fmt.Sprintf("--%s (%s)", o.LongName, o.EnvDefaultKey)
}

func options(p *flags.Parser) []*flags.Option {
	var all []*flags.Option
	for _, group := range p.Groups() {
		all = append(all, group.Options()...)
	}
	return all
}

// unknownVariables finds environment variables with the daemon's prefix that no
// setting has: a misspelt variable would be without effect.
func unknownVariables(p *flags.Parser) []Finding {
	known := make(map[string]bool)
	for _, o := range options(p) {
		known[o.EnvDefaultKey] = true
	}
	var findings []Finding
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] {
			findings = append(findings, Finding{Place: name, Message: "no setting has this environment variable"})
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return strings.Compare(a.Place, b.Place) })
	return findings
}

func unreadableVariables() []Finding {
	var findings []Finding
	for _, o := range options(flags.NewParser(&Daemon{}, flags.None)) {
		value, set := os.LookupEnv(o.EnvDefaultKey)
		if !set || o.EnvDefaultKey == "" {
			continue
		}
		if err := o.Set(&value); err != nil {
			findings = append(findings, Finding{Place: place(o), Message: err.Error()})
		}
	}
	return findings
}

// unreadableArguments reads each argument with its value alone.
func unreadableArguments(args []string) []Finding {
	var findings []Finding
	parser := flags.NewParser(&Daemon{}, flags.None)
	for i := 0; i < len(args); i++ {
		name, value, inline := strings.Cut(strings.TrimPrefix(args[i], "--"), "=")
		option := parser.FindOptionByLongName(name)
		if !strings.HasPrefix(args[i], "--") || option == nil {
			findings = append(findings, Finding{Place: "argument " + args[i], Message: "is not a flag"})
			continue
		}
		if _, isBool := option.Value().(bool); !inline && !isBool {
			if i++; i == len(args) {
				findings = append(findings, Finding{Place: place(option), Message: "has no value"})
				break
			}
			value, inline = args[i], true
		}
		if !inline {
			continue
		}
		if err := option.Set(&value); err != nil {
			findings = append(findings, Finding{Place: place(option), Message: err.Error()})
		}
	}
	return findings
}
