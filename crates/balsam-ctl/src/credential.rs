//! The operator credential.

use crate::CtlError;
use crate::error::{BadCredentialSnafu, CredentialFileSnafu, NoCredentialSnafu};
use snafu::{OptionExt, ResultExt, ensure};
use std::path::Path;

/// The environment variable that is read if no file is named.
const VARIABLE: &str = "BALSAM_CREDENTIAL";

/// Reads the credential from `file`, or from the environment.
pub(crate) fn read_credential(file: Option<&Path>) -> Result<String, CtlError> {
    let text = match file {
        Some(path) => std::fs::read_to_string(path).context(CredentialFileSnafu { path })?,
        None => std::env::var(VARIABLE).ok().context(NoCredentialSnafu)?,
    };
    let text = text.trim();
    let visible = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
    ensure!(visible, BadCredentialSnafu);
    Ok(text.to_owned())
}
