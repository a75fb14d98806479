// Package main is the program parsley.
package main

func main() {}
