"""Checks the rules of the platform from outside observations, for the model and for runs on sockets.

Each rule has its own module. `requests` keeps the open requests and passes them to `answer`, `attempt` and
`move`; `drain` and `cold` are watchers.
"""

from glenfold_lab.checker.cold import ColdRule
from glenfold_lab.checker.drain import DrainRule
from glenfold_lab.checker.gaps import ObserverGaps
from glenfold_lab.checker.requests import RequestRules
from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import Watchers
from glenfold_lab.results import Verdict
from glenfold_lab.spec import Rules


class Checker(Watchers):
    """A watcher that finds broken rules while observations arrive.

    `slack_us` extends every time limit: it is 0 in the model, where times are exact, and 50,000 on sockets,
    where an observation is as late as the process that made it. `keep` is the maximum number of verdicts
    kept; further ones are only counted. `start_us` is the time from which the times in verdicts count.
    `observers` has the gaps of the observers' processes: a verdict on a time limit that these explain is
    undecided.

    Memory use grows with the open requests and connections, not with all those of the history.
    """

    def __init__(
        self,
        rules: Rules,
        slack_us: int,
        keep: int = 100,
        start_us: int = 0,
        observers: ObserverGaps | None = None,
    ) -> None:
        self._verdicts = Verdicts(keep, start_us, observers)
        drain = DrainRule(rules, slack_us, self._verdicts)
        super().__init__(
            RequestRules(rules, slack_us, self._verdicts),
            drain,
            ColdRule(rules, slack_us, drain.listed_start, self._verdicts),
        )

    def verdicts(self) -> tuple[Verdict, ...]:
        """Returns the verdicts kept so far, undecided ones too, in the order of their times.

        A request is judged some time after its deadline, so the verdicts are complete only after `finish`.
        """
        verdicts = [*self._verdicts.kept, *self._verdicts.undecided]
        return tuple(sorted(verdicts, key=lambda verdict: verdict.at_us))

    @property
    def left_out(self) -> int:
        """The number of verdicts beyond those that are kept."""
        return self._verdicts.left_out
