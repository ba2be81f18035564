#include "exitcode.h"

#include "base/failure.h"

namespace RadishSwitch
{

ExitCode exitCodeOf(const absl::Status &status)
{
    if (status.ok()) {
        return ExitCode::Ok;
    }
    switch (failureCode(status)) {
    case FailureCode::RowConflict:
    case FailureCode::VersionConflict:
        return ExitCode::Conflict;
    case FailureCode::InvalidSettings:
        return ExitCode::Usage;
    default:
        return ExitCode::Failed;
    }
}

}
