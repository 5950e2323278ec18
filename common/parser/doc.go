// Package parser decodes and validates the operator's inventory, rules and routing documents and matches calls against them.
package parser
