// Package fleet joins every sign about engines into one view: their own
// reports, the machine list, and silence. The earliest sign that an engine
// leaves wins, and a late list does not undo it: only another machine id or
// a later start of the engine does.
package fleet
