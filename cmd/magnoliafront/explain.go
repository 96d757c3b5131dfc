package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/explainer"
)

type explainCommand struct {
	ctx          context.Context
	out          io.Writer
	Entry        string        `long:"entry" required:"true" value-name:"ADDRESS" description:"Address of the metrics of the entry"`
	Host         string        `long:"host" required:"true" description:"Host of the request"`
	Path         string        `long:"path" required:"true" description:"Path of the request"`
	KeyFile      string        `long:"key-file" value-name:"FILE" description:"File with the key of the caller alone"`
	RequestID    string        `long:"request-id" value-name:"ID" description:"Identity of the request, which selects among weighted services"`
	Model        string        `long:"model" description:"Model of the request, which is a part of the identity of its prefix"`
	PromptTokens int           `long:"prompt-tokens" value-name:"N" description:"Length of the prompt"`
	Prefix       string        `long:"prefix" value-name:"HEX:TOKENS,..." description:"All parts of the prompt; the last one is not shared with other requests"`
	Content      string        `long:"content" value-name:"DIGEST" description:"Digest of the content, from the field content of a log line, to find strikes against it"`
	Deadline     time.Duration `long:"deadline" default:"5s" description:"Time for which the caller waits"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	q := explainer.Question{
		Host: c.Host, Path: c.Path, RequestID: c.RequestID, Model: c.Model,
		PromptTokens: c.PromptTokens, Prefix: c.Prefix, Content: c.Content, Deadline: c.Deadline,
	}
	if c.KeyFile != "" {
		key, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return errors.Wrap(err, "read the key")
		}
		q.Authorization = "Bearer " + strings.TrimSpace(string(key))
	}
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	a, err := explainer.Fetch(ctx, c.Entry, q)
	if err != nil {
		return err
	}
	return writeExplanation(c.out, a)
}

// writeExplanation prints the decision and a table of the candidates. Costs are in
// milliseconds.
func writeExplanation(out io.Writer, a explainer.Answer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "route\t%s\nservice\t%s\norganisation\t%s\npriority\t%d\n", a.Route, a.Service, a.Organisation, a.Priority)
	_, _ = fmt.Fprintf(w, "configuration\t%d\nverdict\t%s\nplacement\t%s\n", a.ConfigurationVersion, a.Verdict, a.Placement)
	if f := a.Failure; f != nil {
		_, _ = fmt.Fprintf(w, "failure\t%d %s: %s\n", f.Status, f.Code, f.Message)
	} else {
		_, _ = fmt.Fprintf(w, "upstream\t%s\n", a.Upstream)
	}
	_, _ = fmt.Fprintf(w, "expected start\t%.1f ms\nprefill\t%d tokens\n", a.ExpectedStartMs, a.PrefillTokens)
	_, _ = fmt.Fprintf(w, "candidates\t%d of %d shown\n", len(a.Candidates), max(a.CandidateCount, len(a.Candidates)))
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write the explanation")
	}
	if len(a.Candidates) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tAVAILABILITY ZONE\tCOST\tRULED OUT\tWAIT\tPENDING\tPREFILL\tCACHED\tRUNS\tSLOTS\tDOUBTS\tRANK\tPOOL\tPARTS OF THE COST")
	for _, c := range a.Candidates {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%t\t%s\n",
			c.Upstream, c.AvailabilityZone, c.CostMs, orDash(c.RuledOut), c.ExpectedWaitMs, c.PendingTokens+c.SharedPendingTokens,
			c.PrefillTokens, c.CachedTokens, c.Outstanding+c.SharedRuns, c.Slots, c.Doubts, rankText(c.Rank), c.InPool, partsText(c.CostParts))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write the explanation")
	}
	return nil
}

// partsText lists the parts of a cost that are not zero.
func partsText(p explainer.Parts) string {
	var parts []string
	for _, part := range []struct {
		name  string
		value float64
	}{
		{"backlog", p.Backlog},
		{"prefill", p.Prefill},
		{"rank", p.Rank},
		{"runs", p.Runs},
		{"slots", p.Slots},
		{"failures", p.Failures},
		{"stall", p.Stall},
		{"first_token", p.FirstToken},
		{"doubts", p.Doubts},
		{"suspects", p.Suspects},
		{"pool", p.Pool},
		{"deferred", p.Deferred},
		{"cross_zone", p.CrossZone},
	} {
		if part.value != 0 {
			parts = append(parts, fmt.Sprintf("%s=%.2f", part.name, part.value))
		}
	}
	return orDash(strings.Join(parts, " "))
}

func rankText(rank *int) string {
	if rank == nil {
		return "-"
	}
	return fmt.Sprint(*rank)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
