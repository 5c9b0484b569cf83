/// Days that a lunar or civil calendar names, as civil dates.
#pragma once

#include "Types.h"

#include <optional>
#include <string_view>

namespace bilberry {

/// Whether the calendar type is one the system knows. Thread safe.
bool isSupportedCalendar(std::string_view calendar);

/// The start (midnight UTC) of the next day at or after `from` that has this month and day in the calendar; the day that
/// contains `from` counts. With `year` only that year's day counts, and it may lie in the past.
/// Nothing when the calendar has no such day within two of its years. Month and day are 1-based. Thread safe.
std::optional<WallTime> findCalendarDay(std::string_view calendar, int month, int day, std::optional<int> year, WallTime from);

/// How far a day that findCalendarDay() gives may be from the day that the calendar's authorities publish: a day for
/// calendars whose months follow from approximate astronomy, else nothing. Thread safe.
std::chrono::hours calendarTolerance(std::string_view calendar);

} // namespace bilberry
