// Command cardamomline serves multi-stage model pipelines.
package main

import (
	"os"

	"github.com/cardamomline/cardamomline/internal/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
