#include "StartGate.h"

namespace bilberry {

bool mayStart(const StartProgress& progress, TimePoint now)
{
    if (!progress.hasConfiguration)
        return false;
    bool hasAskedAll = progress.arePeersDone && progress.isServiceDone;
    return hasAskedAll || now - progress.startedAt >= startTimeout;
}

} // namespace bilberry
