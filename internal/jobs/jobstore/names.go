package jobstore

import (
	"fmt"
	"strconv"
	"strings"
)

// Kinds of the objects that hold batch jobs.
const (
	KindJobs     = "batchjobs"
	KindPayloads = "batchpayloads"
	KindResults  = "batchresults"
)

// chunkDigits is the number of digits of a chunk's index in its object's name.
const chunkDigits = 6

func partName(job string, part int) string { return fmt.Sprintf("%s-%04d", job, part) }

// ChunkName is the name of the object that holds a job's chunk of an index, from 0.
func ChunkName(job string, index int) string { return fmt.Sprintf("%s-%0*d", job, chunkDigits, index) }

// isChunkName tells whether a name is that of a chunk of a job. A prefix does not
// suffice: the id of another job may begin with this one's and a hyphen.
func isChunkName(job, name string) bool {
	number, found := strings.CutPrefix(name, job+"-")
	if !found || len(number) != chunkDigits {
		return false
	}
	_, err := strconv.ParseUint(number, 10, 32)
	return err == nil
}
