// Package ctl implements the command-line tool for callers and operators.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/jacinththread/jacinththread/ctl/client"
)

const (
	toolName    = "jacinththreadctl"
	dialTimeout = 3 * time.Second
	// maxIdleConnsPerHost limits the idle connections kept to one address.
	maxIdleConnsPerHost = 1024
)

// Streams are the standard streams of the tool.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Globals are the options that all commands share.
type Globals struct {
	URLs        []string      `long:"url" env:"JACINTHTHREAD_URL" env-delim:"," value-name:"URL" default:"http://127.0.0.1:21101" description:"Callers' address of a daemon; may be given several times, the first that answers is used"`
	OperatorURL string        `long:"operator-url" env:"JACINTHTHREAD_OPERATOR_URL" value-name:"URL" default:"http://127.0.0.1:21301" description:"Operators' address of a daemon"`
	Token       string        `long:"token" value-name:"TOKEN" description:"Bearer token; other users of the machine can see it, prefer --token-env"`
	TokenEnv    string        `long:"token-env" value-name:"NAME" default:"JACINTHTHREAD_TOKEN" description:"Environment variable that holds the bearer token"`
	JSON        bool          `long:"json" description:"Print JSON for scripts instead of tables"`
	Timeout     time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"Longest time for one request; load has bounds of its own"`
}

// app holds the options, streams and HTTP client that commands use.
type app struct {
	Globals
	Streams
	http *http.Client
}

// command is a subcommand that runs with an app.
type command interface {
	flags.Commander
	run(ctx context.Context, a *app) error
}

// runnable is embedded in option structs to make them a flags.Commander. Its
// Execute does nothing: the parser's CommandHandler calls command.run instead,
// which also receives the context and the app.
type runnable struct{}

// Execute implements flags.Commander.
func (runnable) Execute([]string) error { return nil }

// Run runs the tool with the given arguments and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s, http: client.NewHTTPClient(dialTimeout, maxIdleConnsPerHost)}
	defer a.http.CloseIdleConnections()
	err := a.parse(ctx, args)
	return a.printError(err)
}

func (a *app) parse(ctx context.Context, args []string) error {
	parser := newParser(&a.Globals)
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &usageError{fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		return c.(command).run(ctx, a)
	}
	_, err := parser.ParseArgs(args)
	if isHelp(err) {
		return &helpError{err.Error() + examplesOf(parser.Active)}
	}
	return err
}

// newParser returns a parser for the common options and all commands.
func newParser(g *Globals) *flags.Parser {
	parser := flags.NewNamedParser(toolName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Talks to a jacinththread deployment"
	parser.LongDescription = toolHelp
	mustAdd(parser.AddGroup("Common options", "", g))
	for _, c := range commands() {
		added := mustAdd(parser.AddCommand(c.name, c.short, c.long, c.data))
		for _, sub := range c.subs {
			mustAdd(added.AddCommand(sub.name, sub.short, sub.long, sub.data))
		}
	}
	return parser
}

// mustAdd returns v and panics on an error. An error means that an options
// struct has invalid tags, so every run of the tool would fail.
func mustAdd[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// token returns the bearer token from --token or the environment. If there is
// none, the error names both places.
func (a *app) token() (string, error) {
	if a.Token != "" {
		return a.Token, nil
	}
	if t := os.Getenv(a.TokenEnv); t != "" {
		return t, nil
	}
	return "", &usageError{fmt.Sprintf("no token: set --token, or the environment variable %s", a.TokenEnv)}
}

func (a *app) directory(spread bool) *client.Directory {
	return client.NewDirectory(a.http, a.URLs, spread)
}

// withTimeout returns ctx limited to the timeout of one request.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.Timeout)
}

// usageError reports an invalid command line or input file.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// helpError carries a help text to print; it is not a failure.
type helpError struct{ text string }

func (e *helpError) Error() string { return e.text }

func isHelp(err error) bool {
	var fe *flags.Error
	return errors.As(err, &fe) && fe.Type == flags.ErrHelp
}

// examplesOf returns the examples of the command that help was requested for.
// They are not part of the parser's long description, because the parser would
// wrap their lines.
func examplesOf(active *flags.Command) string {
	known := commands()
	examples := ""
	for ; active != nil; active = active.Active {
		for _, c := range known {
			if c.name == active.Name {
				examples, known = c.examples, c.subs
				break
			}
		}
	}
	if examples == "" {
		return ""
	}
	return "\nExamples:\n" + examples
}
