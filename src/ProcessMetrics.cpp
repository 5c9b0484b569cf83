#include "ProcessMetrics.h"

#include "Metrics.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace bilberry {

static double toSeconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

void updateProcessMetrics(Metrics& metrics)
{
    rusage usage {};
    if (::getrusage(RUSAGE_SELF, &usage) == 0)
        metrics.setGauge("process_cpu_seconds", toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime));
    // The file starts with the total and the resident size, in pages.
    double totalPages = 0;
    double residentPages = 0;
    std::ifstream file("/proc/self/statm");
    if (file >> totalPages >> residentPages)
        metrics.setGauge("process_resident_memory_bytes", residentPages * static_cast<double>(::sysconf(_SC_PAGESIZE)));
}

} // namespace bilberry
