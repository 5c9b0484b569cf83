#include "KeyVouch.h"

#include <absl/strings/numbers.h>

namespace bilberry {

// Latest time that is read, in Unix milliseconds: the year 2200. The clock's nanoseconds end in 2262.
static constexpr int64_t maxUnixMilliseconds = 7'258'118'400'000;

std::optional<WallTime> parseMintTime(std::string_view text)
{
    int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &milliseconds) || milliseconds <= 0 || milliseconds > maxUnixMilliseconds)
        return std::nullopt;
    return WallTime(Milliseconds(milliseconds));
}

MintFault checkMint(std::optional<WallTime> minted, WallTime now)
{
    if (!minted)
        return MintFault::Missing;
    if (*minted > now + maxMintAhead)
        return MintFault::Ahead;
    return *minted < now - keyLifetime ? MintFault::TooOld : MintFault::None;
}

bool coversMint(WallTime since, WallTime minted)
{
    return minted > since + maxMintAhead + maxClockSkew;
}

} // namespace bilberry
