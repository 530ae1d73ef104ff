package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// envPrefix is the prefix of every environment variable of the router.
const envPrefix = "DOTTERELTHREAD_"

// Finding is one problem in the settings.
type Finding struct {
	// Location names the flag and its environment variable, or the unknown variable or argument.
	Location string
	Message  string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Location + ": " + f.Message }

// ErrHelpRequested marks the error that Load returns for --help. The text of that error is the help text. It
// is not a failure.
var ErrHelpRequested = errors.New("help requested")

// Load reads the settings from the arguments and the environment and checks them. It returns all findings at
// once, not only the first; the settings are valid if there are none. If a flag is unknown or lacks its
// value, or a value of a flag or variable cannot be parsed, the findings are only about parsing and unknown
// names, and the other checks are left out. The error is marked ErrHelpRequested for --help, else nil.
func Load(args []string) (Daemon, []Finding, error) {
	var cfg Daemon
	parser := flags.NewParser(&cfg, flags.HelpFlag|flags.PassDoubleDash)
	extraArgs, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		return cfg, nil, errors.Mark(err, ErrHelpRequested)
	}
	findings := unknownVariables(parser)
	if err != nil {
		// The parser stops at the first invalid value, so every value is parsed again on its own.
		findings = append(findings, invalidVariables()...)
		findings = append(findings, invalidArguments(args)...)
		return cfg, findings, nil
	}
	for _, arg := range extraArgs {
		findings = append(findings, Finding{Location: "argument " + arg, Message: "not a known flag"})
	}
	return cfg, append(findings, cfg.check()...), nil
}

func optionLocation(o *flags.Option) string {
	return fmt.Sprintf("--%s (%s)", o.LongName, o.EnvDefaultKey)
}

func options(parser *flags.Parser) []*flags.Option {
	var all []*flags.Option
	for _, group := range parser.Groups() {
		all = append(all, group.Options()...)
	}
	return all
}

// unknownVariables finds environment variables with the router's prefix that belong to no setting. A misspelt
// variable would otherwise have no effect and go unnoticed.
func unknownVariables(parser *flags.Parser) []Finding {
	known := make(map[string]bool)
	for _, o := range options(parser) {
		known[o.EnvDefaultKey] = true
	}
	var findings []Finding
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] {
			findings = append(findings, Finding{Location: name, Message: "unknown environment variable"})
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return strings.Compare(a.Location, b.Location) })
	return findings
}

// invalidVariables returns a finding for each environment variable whose value cannot be parsed.
func invalidVariables() []Finding {
	var findings []Finding
	for _, o := range options(flags.NewParser(&Daemon{}, flags.None)) {
		value, set := os.LookupEnv(o.EnvDefaultKey)
		if !set || o.EnvDefaultKey == "" {
			continue
		}
		if err := o.Set(&value); err != nil {
			findings = append(findings, Finding{Location: optionLocation(o), Message: err.Error()})
		}
	}
	return findings
}

// invalidArguments returns a finding for each argument that is not a known flag, lacks a value or has a value
// that cannot be parsed.
func invalidArguments(args []string) []Finding {
	var findings []Finding
	parser := flags.NewParser(&Daemon{}, flags.None)
	for i := 0; i < len(args); i++ {
		name, value, hasValue := strings.Cut(strings.TrimPrefix(args[i], "--"), "=")
		option := parser.FindOptionByLongName(name)
		if !strings.HasPrefix(args[i], "--") || option == nil {
			findings = append(findings, Finding{Location: "argument " + args[i], Message: "not a known flag"})
			continue
		}
		if _, isBool := option.Value().(bool); !hasValue && !isBool {
			if i++; i == len(args) {
				findings = append(findings, Finding{Location: optionLocation(option), Message: "needs a value"})
				break
			}
			value, hasValue = args[i], true
		}
		if !hasValue {
			continue
		}
		if err := option.Set(&value); err != nil {
			findings = append(findings, Finding{Location: optionLocation(option), Message: err.Error()})
		}
	}
	return findings
}
