#include "core/verdict.h"

namespace jacinthshift {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Done:
        return "done";
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

Verdict verdictFromName(std::string_view name)
{
    if (name == "done")
        return Verdict::Done;
    if (name == "not-run")
        return Verdict::NotRun;
    return Verdict::MayHaveRun;
}

} // namespace jacinthshift
