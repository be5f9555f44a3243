// Package commander implements the command line of cicadawood. Each command has a file of
// its own and an entry in one table.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command could not do its work
	ExitUsage    = 2 // the call or a settings file is wrong
	ExitConflict = 3 // the change conflicts with another operator's
	ExitDiffers  = 4 // diff found differences
	// ExitOutcomeUnknown reports that a push may or may not have taken effect; repeat the
	// push.
	ExitOutcomeUnknown = 5
)

// command is one command of the program.
type command struct {
	use   string
	short string
	long  string // "" means short
	args  cobra.PositionalArgs
	flags func(*cobra.Command)
	run   func(ctx context.Context, c *cobra.Command, args []string) error
}

// commands lists every command, in the order of the help page.
var commands = []command{cmdServe, cmdCheck, cmdDiff, cmdPull, cmdPush, cmdKey, cmdStatus, cmdDump, cmdDrain, cmdHeld, cmdExplain, cmdVersion}

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// usageError gives err the exit code of a wrong call; nil stays nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return exitError{code: ExitUsage, err: err}
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	isServe := len(args) > 0 && args[0] == "serve"
	if isServe {
		catchHangups()
		ignoreBrokenPipes()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(stdin)
	out := &output{w: stdout}
	root.SetOut(out)
	if isServe {
		root.SetOut(stdout) // a host must not fail because its log can't be written
	}
	root.SetErr(stderr)
	err := checkCommand(root, args)
	if err == nil {
		err = root.ExecuteContext(ctx)
	}
	if out.err != nil {
		err = out.err // takes precedence over other errors: the output is incomplete
	}
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "cicadawood: "+err.Error())
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitFailed
}

// checkCommand returns a usage error for a command that does not exist; cobra reports it
// like any other failure. Cobra adds its hidden commands, such as __complete, only later,
// so they are not checked.
func checkCommand(root *cobra.Command, args []string) error {
	if len(args) == 0 || strings.HasPrefix(args[0], "__") {
		return nil
	}
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd(args...)
	_, _, err := root.Find(args)
	return usageError(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cicadawood",
		Short:         "A router for language-model traffic with service levels and priorities",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().String("platform", os.Getenv("CICADAWOOD_PLATFORM"), "base URL of the platform (or CICADAWOOD_PLATFORM)")
	root.PersistentFlags().Bool("json", false, "print JSON")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	for _, k := range commands {
		c := &cobra.Command{Use: k.use, Short: k.short, Long: k.long, Args: func(c *cobra.Command, args []string) error { return usageError(k.args(c, args)) }}
		c.RunE = func(c *cobra.Command, args []string) error { return k.run(c.Context(), c, args) }
		if k.flags != nil {
			k.flags(c)
		}
		root.AddCommand(c)
	}
	return root
}
