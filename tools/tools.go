// Package tools declares the linters and generators that make check runs.
package tools
