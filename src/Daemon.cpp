#include "Log.h"

int main()
{
    bilberry::logEvent(bilberry::LogLevel::Info, "start", "version={}", BILBERRY_VERSION);
    return 0;
}
