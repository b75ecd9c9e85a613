//! The questions and their help texts.

/// Type of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// A name of lower-case letters, digits, `-` and `_`.
    Name,
    /// Names separated by spaces. The list may be empty if the question has a default.
    NameList,
    /// A whole number in a range.
    Number {
        /// Minimum.
        min: u32,
        /// Maximum.
        max: u32,
    },
    /// `yes` or `no`.
    YesNo,
}

/// A question about a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// Path of the answer in the answers file. `[]` stands for any index of a list.
    pub field: &'static str,
    /// Text of the question.
    pub prompt: &'static str,
    /// Help text: what the answer is used for and how to determine it.
    pub help: &'static str,
    /// Type of the answer.
    pub kind: AnswerKind,
    /// Default answer, used for an empty line.
    pub default: Option<&'static str>,
}

const fn number(min: u32, max: u32) -> AnswerKind {
    AnswerKind::Number { min, max }
}

/// All questions in the order in which they are asked.
pub const QUESTIONS: &[Question] = &[
    Question {
        field: "deployment",
        prompt: "What is the name of the deployment?",
        help: "Identifies the deployment in logs and metrics, for example `landesamt`.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "regions[].name",
        prompt: "What is the name of the region?",
        help: "A region groups failure domains that are close to each other.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "regions[].failure_domains",
        prompt: "Which failure domains are in the region?",
        help: "Names separated by spaces. Each failure domain has its own entry hosts and workers \
               and can be cut off from the others. Use the names from the platform's list.",
        kind: AnswerKind::NameList,
        default: None,
    },
    Question {
        field: "workers.count",
        prompt: "How many workers are there in all failure domains together?",
        help: "The limits of the teams are validated against the capacity of all workers.",
        kind: number(1, 100_000),
        default: None,
    },
    Question {
        field: "workers.slots",
        prompt: "How many tasks does a worker run at once?",
        help: "The number of slots per worker, as reported by the platform.",
        kind: number(1, 4_096),
        default: Some("8"),
    },
    Question {
        field: "workers.connections",
        prompt: "How many connections does a worker accept?",
        help: "All entry hosts share these connections. At least one per slot is required.",
        kind: number(1, 65_535),
        default: Some("60"),
    },
    Question {
        field: "workers.memory_gib",
        prompt: "How much memory does the largest worker have, in GiB?",
        help: "A task that requires more can never run.",
        kind: number(1, 65_536),
        default: Some("64"),
    },
    Question {
        field: "workers.accelerators",
        prompt: "How many accelerators does the largest worker have?",
        help: "A task that requires more can never run.",
        kind: number(0, 1_024),
        default: Some("0"),
    },
    Question {
        field: "teams[].name",
        prompt: "What is the name of the team?",
        help: "Callers send the name of their team when they request tickets.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "teams[].weight",
        prompt: "What is the weight of the team relative to others when capacity is short?",
        help: "A team of weight 2 gets twice the share of a team of weight 1.",
        kind: number(1, 1_000),
        default: Some("1"),
    },
    Question {
        field: "teams[].max_slots_percent",
        prompt: "What share of all slots may the team use at once, in percent?",
        help: "Limits the running tasks of the team. Use 100 if it is the only team.",
        kind: number(1, 100),
        default: Some("100"),
    },
    Question {
        field: "teams[].failure_domains",
        prompt: "In which failure domains may tasks of the team run?",
        help: "Names separated by spaces. An empty answer allows all failure domains.",
        kind: AnswerKind::NameList,
        default: Some(""),
    },
    Question {
        field: "teams[].work[].name",
        prompt: "What is the name of the kind of work?",
        help: "Becomes the task class by which run times are estimated, for example `holds`.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "teams[].work[].typical_run_ms",
        prompt: "How long does a task typically run, in milliseconds?",
        help: "Initial estimate; it is adjusted to the measured run times.",
        kind: number(1, 600_000),
        default: None,
    },
    Question {
        field: "teams[].work[].answer_within_ms",
        prompt: "After what time is the result no longer useful, in milliseconds?",
        help: "A job that can't finish in time is refused at once, and no job starts after that time.",
        kind: number(1, 3_600_000),
        default: None,
    },
    Question {
        field: "teams[].work[].largest_job_tasks",
        prompt: "How many tasks does the largest job have?",
        help: "Jobs with more tasks are refused.",
        kind: number(1, 10_000),
        default: Some("1"),
    },
    Question {
        field: "teams[].work[].idempotent",
        prompt: "Is it safe to run a task more than once?",
        help: "Answer `yes` only for reads such as a balance check. Answer `no` for a charge or a \
               booking: it is never sent again unless it is proven that it did not run.",
        kind: AnswerKind::YesNo,
        default: Some("no"),
    },
    Question {
        field: "teams[].work[].memory_mib",
        prompt: "How much memory does a task require, in MiB?",
        help: "0 if unknown.",
        kind: number(0, 67_108_864),
        default: Some("0"),
    },
    Question {
        field: "teams[].work[].accelerators",
        prompt: "How many accelerators does a task require?",
        help: "0 for tasks that run on CPUs only.",
        kind: number(0, 1_024),
        default: Some("0"),
    },
];
