#include "tests/studies/process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace jacinthshift {

ProcessUsage processUsage(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const std::size_t end = text.rfind(')');
    if (end == std::string::npos)
        return {};
    std::istringstream fields(text.substr(end + 2));
    std::string skipped;
    constexpr int FieldsBeforeUserTime = 11;
    for (int i = 0; i < FieldsBeforeUserTime; ++i)
        fields >> skipped;
    double userTicks = 0.0;
    double systemTicks = 0.0;
    fields >> userTicks >> systemTicks;
    constexpr int FieldsBeforeResident = 8;
    for (int i = 0; i < FieldsBeforeResident; ++i)
        fields >> skipped;
    double residentPages = 0.0;
    fields >> residentPages;
    constexpr double BytesPerMegabyte = 1024.0 * 1024.0;
    return ProcessUsage{
            .cpuSeconds = (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK)),
            .residentMegabytes =
                    residentPages * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMegabyte};
}

} // namespace jacinthshift
