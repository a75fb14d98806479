// Package main is the program bench.
package main

func main() {}
