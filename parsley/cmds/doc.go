// Package cmds holds the commands of the program parsley.
//
// Results go to the standard output as a table, JSON or TOML; progress,
// warnings and errors go to the standard error. The exit code states the outcome
// and is part of the interface: see Code.
package cmds
