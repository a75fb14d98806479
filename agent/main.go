// Package main is the program agent.
package main

func main() {}
