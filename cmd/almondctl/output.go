package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// table is a table to print. Cells must not contain tabs or newlines.
type table struct {
	head []string
	rows [][]string
}

// add appends a row. Each cell is formatted with fmt.Sprint.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes v as JSON or the tables as text, depending on the output format.
func (c *cli) print(v any, tables ...*table) error {
	if c.format == formatJSON {
		enc := json.NewEncoder(c.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(c.stdout)
		}
		if err := c.printTable(t); err != nil {
			return err
		}
	}
	return nil
}

func (c *cli) printTable(t *table) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.head, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
