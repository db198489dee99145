//! A replica of the control group: stores profiles and the claims of idempotency keys.

use geraniumyard::{exit_on_error, print_version, run};
use gumdrop::Options;
use kernel::Settings;
use settings::{ControlFlags, ControlSettings, SettingSource, init_logs};

fn main() {
    let flags = ControlFlags::parse_args_default_or_exit();
    if flags.version {
        return print_version("gyard-control");
    }
    let source = SettingSource::new(|name: &str| std::env::var(name).ok());
    let settings = exit_on_error(ControlSettings::read(&flags, &source));
    init_logs(settings.logs);
    control::register();
    run(&Settings::Control(Box::new(settings)));
}
