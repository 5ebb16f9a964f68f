package verbs

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/query/status"
)

const statusTimeout = 3 * time.Second

var statusVerb = verb{
	name:    "status",
	summary: "Show the status of daemons and the load of their gates",
	usage: `[--json] ADDRESS...

ADDRESS is the operators' address of a daemon.
Example: cftctl status 127.0.0.1:7401 127.0.0.1:7402`,
	new: func() action { return &statusAction{} },
}

type statusAction struct {
	JSON bool `long:"json" description:"Print one JSON object for each daemon"`
}

// reply is the status of one daemon, or the error that prevented reading it.
type reply struct {
	Address string       `json:"address"`
	Error   string       `json:"error,omitempty"`
	Status  *status.View `json:"status,omitempty"`
}

func (a *statusAction) run(arguments []string, out io.Writer) error {
	if len(arguments) == 0 {
		return usageError("give at least one operators' address")
	}
	failed := false
	var replies []reply
	for _, address := range arguments {
		replies = append(replies, fetchStatus(address))
		failed = failed || replies[len(replies)-1].Error != ""
	}
	if err := a.print(out, replies); err != nil {
		return err
	}
	if failed {
		return errFaults
	}
	return nil
}

func fetchStatus(address string) reply {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return reply{Address: address, Error: err.Error() + "; is this the operators' address, and is the daemon running?"}
	}
	defer response.Body.Close()
	var view status.View
	if err := json.NewDecoder(response.Body).Decode(&view); err != nil {
		return reply{Address: address, Error: err.Error() + "; is this the operators' address?"}
	}
	return reply{Address: address, Status: &view}
}

func (a *statusAction) print(out io.Writer, replies []reply) error {
	if a.JSON {
		encoder := json.NewEncoder(out)
		for _, r := range replies {
			if err := encoder.Encode(r); err != nil {
				return errors.Wrap(err, "print")
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "address\tupstream\tservice\tfailure domain\trevision\tin flight\tqueued\tslots\tstate")
	for _, r := range replies {
		if r.Error != "" {
			fmt.Fprintf(table, "%s\t\t\t\t\t\t\t\t%s\n", r.Address, r.Error)
			continue
		}
		s := r.Status
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", r.Address, s.Self.Name, s.Self.Service, s.Self.FailureDomain,
			s.Revision, s.Gate.InFlight, s.Gate.Queued, s.Gate.Slots, s.State())
	}
	return errors.Wrap(table.Flush(), "print")
}
