#pragma once

#include "Decisions/Decisions.h"
#include "Entry/Entry.h"
#include "Ledger/Ledger.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Gateway {

/// The problem document for a refusal of the scheduler.
Entry::Problem refusalProblem(const Decisions::Refuse &refusal);

/// The problem document for a refusal of the ledger.
Entry::Problem onceProblem(const Ledger::Rejected &refused);

/// The problem document for a failure that another instance reports.
Entry::Problem problemOf(const Peers::AnswerFailure &failure);

} // namespace LaburnumChute::Gateway
