package ctl

import (
	"context"
	"fmt"
)

// completionScript is a bash completion function that runs the tool with
// GO_FLAGS_COMPLETION set to list the candidates.
const completionScript = `_jacinththreadctl() {
    local IFS=$'\n'
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -o default -F _jacinththreadctl jacinththreadctl
`

type completionCommand struct {
	runnable
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"Only bash"`
	} `positional-args:"yes" required:"yes"`
}

func (c *completionCommand) run(_ context.Context, a *app) error {
	if c.Args.Shell != "bash" {
		return &usageError{fmt.Sprintf("shell %q is not supported, only bash", c.Args.Shell)}
	}
	_, err := fmt.Fprint(a.Out, completionScript)
	return err
}
