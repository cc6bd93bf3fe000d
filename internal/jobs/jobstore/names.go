package jobstore

import (
	"fmt"
	"strconv"
	"strings"
)

// Kinds of the stored objects.
const (
	KindJobs     = "batchjobs"
	KindPayloads = "batchpayloads"
	KindResults  = "batchresults"
)

// chunkDigits is the number of digits of a chunk's index in its object's name, partDigits that of a
// part's.
const (
	chunkDigits = 6
	partDigits  = 4
)

func partName(job string, part int) string { return fmt.Sprintf("%s-%0*d", job, partDigits, part) }

// ChunkName returns the object name of the job's chunk with the given index, starting at 0.
func ChunkName(job string, index int) string { return fmt.Sprintf("%s-%0*d", job, chunkDigits, index) }

// isChunkName reports whether name is the name of a chunk of the job. Comparing the prefix is
// not sufficient: the id of another job may start with this job's id and a hyphen.
func isChunkName(job, name string) bool { return isNumberedName(job, name, chunkDigits) }

// isNumberedName reports whether name is that of an object of the job whose number has the given number
// of digits.
func isNumberedName(job, name string, digits int) bool {
	number, found := strings.CutPrefix(name, job+"-")
	if !found || len(number) != digits {
		return false
	}
	_, err := strconv.ParseUint(number, 10, 32)
	return err == nil
}
