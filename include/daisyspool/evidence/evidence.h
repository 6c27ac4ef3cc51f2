// The evidence module: tells tasks that fail everywhere, workers that fail
// everything and cancellations apart, with bounded attempts. Pure.
//
//   EvidenceTable.h  failures by task and worker, and what follows from them
//
// Jobs that can never run are found before the first attempt by
// checkFeasible(); see placement/Rules.h next.
#ifndef DAISYSPOOL_EVIDENCE_EVIDENCE_H
#define DAISYSPOOL_EVIDENCE_EVIDENCE_H

#include "daisyspool/evidence/EvidenceTable.h"

#endif // DAISYSPOOL_EVIDENCE_EVIDENCE_H
