#include "Calendar.h"

#include <array>
#include <memory>
#include <string>
#include <unicode/calendar.h>

namespace bilberry {

static constexpr std::array<std::string_view, 6> supportedCalendars { "islamic-umalqura", "islamic-civil", "chinese", "hebrew", "persian", "gregorian" };

// The number of days in two years of the longest calendar; every yearly day occurs within them.
static constexpr int searchDays = 2 * 385;

bool isSupportedCalendar(std::string_view calendar)
{
    for (auto known : supportedCalendars) {
        if (known == calendar)
            return true;
    }
    return false;
}

static WallTime startOfDay(WallTime time)
{
    auto days = std::chrono::duration_cast<std::chrono::hours>(time.time_since_epoch()).count() / 24;
    return WallTime(std::chrono::hours(days * 24));
}

static std::unique_ptr<icu::Calendar> makeCalendar(std::string_view type)
{
    UErrorCode error = U_ZERO_ERROR;
    icu::Locale locale(("en@calendar=" + std::string(type)).c_str());
    std::unique_ptr<icu::Calendar> calendar(icu::Calendar::createInstance(icu::TimeZone::createTimeZone("UTC"), locale, error));
    return U_SUCCESS(error) ? std::move(calendar) : nullptr;
}

// Whether the calendar's current day is the one that a rule specifies. A leap month never matches.
static bool matchesDate(const icu::Calendar& calendar, int month, int day, std::optional<int> year)
{
    UErrorCode error = U_ZERO_ERROR;
    bool isMatch = calendar.get(UCAL_MONTH, error) == month - 1 && calendar.get(UCAL_DATE, error) == day;
    isMatch = isMatch && calendar.get(UCAL_IS_LEAP_MONTH, error) == 0;
    if (year)
        isMatch = isMatch && calendar.get(UCAL_EXTENDED_YEAR, error) == *year;
    return U_SUCCESS(error) && isMatch;
}

std::optional<WallTime> findCalendarDay(std::string_view type, int month, int day, std::optional<int> year, WallTime from)
{
    auto calendar = makeCalendar(type);
    if (!calendar)
        return std::nullopt;
    WallTime candidate = startOfDay(from);
    if (year)
        candidate -= std::chrono::hours(24 * searchDays);
    int days = year ? 2 * searchDays : searchDays;
    for (int i = 0; i < days; ++i) {
        UErrorCode error = U_ZERO_ERROR;
        auto noon = candidate + std::chrono::hours(12);
        calendar->setTime(static_cast<double>(std::chrono::duration_cast<Milliseconds>(noon.time_since_epoch()).count()), error);
        if (U_SUCCESS(error) && matchesDate(*calendar, month, day, year))
            return candidate;
        candidate += std::chrono::hours(24);
    }
    return std::nullopt;
}

std::chrono::hours calendarTolerance(std::string_view calendar)
{
    // ICU computes the new moons of this calendar with errors of minutes, and one near midnight shifts a month by a day.
    return std::chrono::hours(calendar == "chinese" ? 24 : 0);
}

} // namespace bilberry
