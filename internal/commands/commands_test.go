package commands_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/commands"
)

var update = flag.Bool("update", false, "rewrite the expected output in testdata")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cardamomline": func() { os.Exit(commands.Execute(os.Args[1:])) },
	})
}

// Guards the command line that operators and their scripts rely on: output,
// exit codes and help. The scripts are in testdata; EXAMPLES is the folder of
// the example files.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples"))
	require.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits, "controlvm": controlVM},
	})
}

// exits runs a command and compares its exit code: exits CODE COMMAND ARG...
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARG...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
