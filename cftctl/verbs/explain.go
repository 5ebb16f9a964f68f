package verbs

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"comfreytack/cftctl/keys"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

// defaultSlots is the size of the gate to explain when no service is given.
const defaultSlots = 10

var explainVerb = verb{
	name:    "explain",
	summary: "Show which limits follow from the contracts, and why",
	usage: `[--service NAME] [--customer NAME] [--json] FOLDER

Example: cftctl explain --service reservas --customer policia-norte deployments/quito/keys`,
	new: func() action { return &explainAction{} },
}

type explainAction struct {
	Service  string `long:"service" value-name:"NAME" description:"Service whose gates the limits are for; without it, a gate of 10 slots"`
	Customer string `long:"customer" value-name:"NAME" description:"Show the formulas of one customer"`
	JSON     bool   `long:"json" description:"Print JSON"`
}

func (a *explainAction) run(arguments []string, out io.Writer) error {
	if len(arguments) != 1 {
		return usageError("give one folder of published values")
	}
	folder, err := keys.Read(arguments[0])
	if err != nil {
		return err
	}
	if len(folder.Faults) > 0 {
		return errors.Errorf("%v; run cftctl check %s", folder.Faults[0], arguments[0])
	}
	slots, err := a.slots(folder)
	if err != nil {
		return err
	}
	explanations, err := a.explanations(folder, slots)
	if err != nil {
		return err
	}
	return a.print(out, slots, explanations)
}

func (a *explainAction) slots(folder *keys.Folder) (int, error) {
	if a.Service == "" {
		return defaultSlots, nil
	}
	service, known := folder.Services[model.ServiceName(a.Service)]
	if !known {
		return 0, errors.Errorf("no service %q; the folder has %v", a.Service, slices.Sorted(maps.Keys(folder.Services)))
	}
	return service.Slots, nil
}

func (a *explainAction) explanations(folder *keys.Folder, slots int) ([]limits.Explanation, error) {
	customers := slices.Sorted(maps.Keys(folder.Contracts))
	if a.Customer != "" {
		if _, known := folder.Contracts[model.Customer(a.Customer)]; !known {
			return nil, errors.Errorf("no contract of %q; the folder has %v", a.Customer, customers)
		}
		customers = []model.Customer{model.Customer(a.Customer)}
	}
	var explanations []limits.Explanation
	for _, customer := range customers {
		explanation, _ := limits.Explain(folder.Contracts, slots, customer)
		explanations = append(explanations, explanation)
	}
	return explanations, nil
}

func (a *explainAction) print(out io.Writer, slots int, explanations []limits.Explanation) error {
	if a.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(explanations), "print")
	}
	fmt.Fprintf(out, "Limits at each gate of %d slots.\n\n", slots)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if a.Customer != "" {
		printRows(table, explanations[0].Rows)
		return errors.Wrap(table.Flush(), "print")
	}
	fmt.Fprintln(table, "customer\ttier\tweight\tguaranteed slots\tqueue\tlong slots\tretries\tdeadline\tlongest")
	for _, e := range explanations {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%d\t%d\t%d%%\t%s\t%s\n", e.Customer, e.Contract.Tier, e.Limits.Weight,
			float64(e.Limits.Guaranteed)/1000, e.Limits.Queue, e.Limits.LongSlots, e.Limits.RetryPercent, e.Limits.Deadline, e.Limits.Longest)
	}
	return errors.Wrap(table.Flush(), "print")
}

func printRows(table io.Writer, rows []limits.Row) {
	fmt.Fprintln(table, "limit\tvalue\tunit\tformula\tmeaning")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", row.Limit, row.Value, row.Unit, row.Formula, row.Sentence)
	}
}
