// Package decl reads, checks, renders and compares the operators' declarations.
//
// A file is TOML with arrays of tables named after the kinds: [[zone]],
// [[service]], [[upstream]], [[team]] and [[rule]]. The value of a store object
// is the same text with exactly one declaration, so that the values of several
// objects, one after the other, are a file again.
//
// Decoding is strict. Every error is a trace.BadParameter that names the file,
// the line and the key. Numbers are finite; durations are text such as "250ms";
// rates are in requests a second.
package decl
