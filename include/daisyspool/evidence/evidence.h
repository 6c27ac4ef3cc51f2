// The evidence module: distinguishes tasks that fail on every worker, workers
// that fail every task, and cancellations; bounds attempts. No I/O and no
// clock.
//
//   EvidenceTable.h  failures by task and worker, task ends and quarantines
//
// Infeasible jobs are detected before the first attempt by
// checkFeasible(); see placement/Rules.h next.
#ifndef DAISYSPOOL_EVIDENCE_EVIDENCE_H
#define DAISYSPOOL_EVIDENCE_EVIDENCE_H

#include "daisyspool/evidence/EvidenceTable.h"

#endif // DAISYSPOOL_EVIDENCE_EVIDENCE_H
